"""Command line of the daemon ``snipebayd``."""

import pathlib
import signal
import sys

import cyclopts
import structlog
from circuits import BaseComponent, handler
from returns.result import Success
from snipebay_model.instance import parse_instance

from snipebay_node.logs import configure_logs
from snipebay_node.node import Node
from snipebay_node.storage import StorageError

__all__ = ["main"]

EXIT_OK = 0
EXIT_SETTINGS = 2
EXIT_STORAGE = 3
EXIT_ADDRESS = 4

app = cyclopts.App(name="snipebayd", help="Runs one snipebay instance.")
log = structlog.get_logger(__name__)


@app.default
def run(settings: pathlib.Path, *, check: bool = False):
    """Run an instance until SIGTERM or SIGINT, which stop it gracefully.

    SIGHUP reloads the settings. Exit codes: 0 stopped, 2 bad settings, 3 data
    folder not usable, 4 address not usable.

    Args:
        settings: Settings file of the instance, in YAML.
        check: Validate the settings and exit.
    """
    cfg = _read_settings(settings)
    if cfg is None:
        return EXIT_SETTINGS
    if check:
        print(f"{settings}: good")
        return EXIT_OK
    configure_logs(cfg.log_level, instance=cfg.id, region=cfg.region)
    try:
        node = Node(cfg)
    except StorageError as exc:
        log.critical("data folder not usable", error=str(exc))
        return EXIT_STORAGE
    except OSError as exc:
        log.critical("address not usable", error=str(exc))
        return EXIT_ADDRESS
    _Signals(node, settings).register(node)
    log.info("started", roles=cfg.roles, http=cfg.http)
    node.run()
    return EXIT_OK


class _Signals(BaseComponent):
    """Handles signals: SIGTERM and SIGINT stop the node, SIGHUP reloads."""

    def __init__(self, node, path):
        super().__init__()
        self._node = node
        self._path = path
        # circuits installs handlers only for the signals that end a program.
        signal.signal(signal.SIGHUP, lambda signo, stack: self._reload())

    @handler("signal", channel="*")
    def _on_signal(self, signo, stack):
        if signo in (signal.SIGTERM, signal.SIGINT):
            self._node.begin_stop()

    def _reload(self):
        cfg = _read_settings(self._path)
        if cfg is not None:
            self._node.reload(cfg)


def _read_settings(path):
    """Return the validated settings, or None after printing the errors."""
    try:
        text = path.read_text()
    except OSError as exc:
        print(f"{path}: {exc.strerror}", file=sys.stderr)
        return None
    result = parse_instance(text, str(path))
    if isinstance(result, Success):
        return result.unwrap()
    print(result.failure(), file=sys.stderr)
    return None


def main():
    """Entry point of the command."""
    sys.exit(app())


if __name__ == "__main__":
    main()
