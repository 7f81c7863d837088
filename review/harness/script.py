"""Runs one scenario as a script with the review's exit codes."""

import asyncio
import os
import signal
import sys
import traceback

__all__ = ["HAS_TROUBLE", "run"]

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
EXIT_CANNOT_RUN = 2
TIME_LIMIT_S = 110.0


def run(main):
    """Run a coroutine function and exit with its result.

    It returns 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
    """

    async def limited():
        # All processes are also ended when the script itself is stopped.
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        async with asyncio.timeout(TIME_LIMIT_S):
            return await main()

    try:
        code = asyncio.run(limited())
    except (Exception, asyncio.CancelledError):
        traceback.print_exc()
        code = EXIT_CANNOT_RUN
    words = {0: "the rule held", 1: "the rule was broken", 2: "the case could not run"}
    print(words[code], flush=True)
    sys.exit(code)
