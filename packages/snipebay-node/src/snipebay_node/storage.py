"""Durable storage of the replicated log and its snapshots in a data folder.

The folder holds the files ``lock``, ``identity``, ``snapshot`` and ``log``. The log
is a sequence of records with checksums.
"""

import fcntl
import os
import pathlib
import secrets
import struct
import zlib

import attrs
import msgspec
import structlog
from snipebay_control.raft_log import HardState, PersistentState, RaftLog, Snapshot
from snipebay_model.messages import LogEntry

__all__ = ["BOOTSTRAP_INCARNATION", "Storage", "StorageError"]

# Incarnation of the data folders of the initial voters. It is fixed, so that each
# of them knows the node names of the others when the group is bootstrapped.
BOOTSTRAP_INCARNATION = "founder"

MAGIC = b"snipebay-log-1\n"
_HEADER = struct.Struct("<III")
MAX_RECORD_BYTES = 256 * 1024 * 1024


log = structlog.get_logger(__name__)


class StorageError(Exception):
    """The data folder can't be used; the message is shown to operators."""


@attrs.define
class _Identity:
    """Owner of a data folder, stored in the file ``identity``.

    Attributes:
        id: Id of the instance.
        incarnation: Distinguishes this folder from earlier ones of the instance.
    """

    id: str
    incarnation: str


@attrs.define
class _SnapshotFile:
    """Content of the file ``snapshot``.

    Attributes:
        crc: CRC-32 of ``data``.
        data: The encoded snapshot.
    """

    crc: int
    data: bytes


class Storage:
    """The data folder of one control instance.

    Args:
        folder: Path of the folder.
        instance_id: Id of the instance from its settings, which must own the folder.
        incarnation: Incarnation to give a new folder; a random one if empty.

    Raises:
        StorageError: If the folder can't be read or written, is in use, belongs to
            another instance, holds a damaged snapshot, or has damaged records before
            the end of the log.
    """

    def __init__(self, folder, instance_id, incarnation=""):
        self.folder = pathlib.Path(folder)
        try:
            self.folder.mkdir(parents=True, exist_ok=True)
            self._lock = open(self.folder / "lock", "w")  # noqa: SIM115
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            raise StorageError(f"{folder!r} is in use by another process") from None
        except OSError as exc:
            raise StorageError(f"{folder!r} can't be written: {exc}") from exc
        self.incarnation = self._load_identity(instance_id, incarnation)
        self._hard_state = HardState()
        self._log = RaftLog()
        try:
            self._load()
        except OSError as exc:
            raise StorageError(f"{folder!r} can't be read: {exc}") from exc

    def load(self):
        """Return the state as read from the folder and saved since."""
        return PersistentState(
            self._hard_state, self._log.snapshot, tuple(self._log.entries)
        )

    def save(self, ready):
        """Write the changes of the control core and sync them to disk.

        Raises:
            StorageError: If they can't be written. Messages that depend on them must
                not be sent.
        """
        try:
            if ready.snapshot is not None:
                self._log.reset(ready.snapshot)
            if ready.hard_state is not None:
                self._hard_state = ready.hard_state
            self._log.append(ready.entries)
            if ready.compacted is not None:
                self._log.compact(ready.compacted)
            if ready.snapshot is not None or ready.compacted is not None:
                self._write_snapshot()
            elif ready.needs_sync:
                self._append_record(ready.hard_state, ready.entries)
        except OSError as exc:
            raise StorageError(f"{self.folder} can't be written: {exc}") from exc

    def close(self):
        """Release the folder, whatever state its disk is in."""
        for file in (self._file, self._lock):
            try:
                file.close()
            except OSError as exc:
                log.error("data file not closed", file=file.name, error=str(exc))

    # --- files ------------------------------------------------------------

    def _load_identity(self, instance_id, incarnation):
        """Return the incarnation of the folder, creating it in a new folder."""
        path = self.folder / "identity"
        if path.exists():
            identity = _read_identity(path)
            if identity.id != instance_id:
                raise StorageError(
                    f"{str(self.folder)!r} belongs to instance {identity.id!r}, "
                    f"not {instance_id!r}"
                )
            return identity.incarnation
        identity = _Identity(instance_id, incarnation or secrets.token_hex(4))
        try:
            self._replace_file(path, msgspec.json.encode(identity))
        except OSError as exc:
            raise StorageError(f"{self.folder} can't be written: {exc}") from exc
        return identity.incarnation

    def _load(self):
        snapshot_path = self.folder / "snapshot"
        if snapshot_path.exists():
            self._log.reset(_read_snapshot(snapshot_path))
        path = self.folder / "log"
        if not path.exists():
            self._replace_file(path, MAGIC)
        raw = path.read_bytes()
        if not raw.startswith(MAGIC):
            raise StorageError(f"{str(path)!r} is not a log of this version")
        end = len(MAGIC)
        while (record := _read_record(raw, end)) is not None:
            payload, end = record
            self._apply_record(payload)
        if end < len(raw):
            _check_tail(raw, end, path)
        self._file = _open_log(path)
        # A record that a crash left incomplete was never acknowledged.
        self._file.truncate(end)
        self._file.seek(end)
        os.fdatasync(self._file.fileno())

    def _apply_record(self, payload):
        """Apply one record of the log file to the state in memory."""
        hard_state, entries = msgspec.msgpack.decode(
            payload, type=tuple[HardState | None, list[LogEntry]]
        )
        if hard_state is not None:
            self._hard_state = hard_state
        # After a crash between writing the snapshot and the new log, the old log
        # still holds entries that the snapshot covers.
        self._log.append([e for e in entries if e.index > self._log.snapshot.index])

    def _append_record(self, hard_state, entries):
        start = self._file.tell()
        try:
            _write_all(self._file, _encode_record(hard_state, entries))
            os.fdatasync(self._file.fileno())
        except OSError:
            self._file.truncate(start)
            raise

    def _write_snapshot(self):
        """Write the snapshot, then a log with only the entries after it."""
        data = msgspec.msgpack.encode(self._log.snapshot)
        packed = msgspec.msgpack.encode(_SnapshotFile(zlib.crc32(data), data))
        self._replace_file(self.folder / "snapshot", packed)
        content = MAGIC + _encode_record(self._hard_state, self._log.entries)
        path = self.folder / "log"
        self._replace_file(path, content)
        self._file.close()
        self._file = _open_log(path)
        self._file.seek(len(content))

    def _replace_file(self, path, data):
        """Replace a file atomically and sync it; a crash leaves the old or new one."""
        temporary_path = path.with_suffix(".part")
        with open(temporary_path, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        os.replace(temporary_path, path)
        folder = os.open(self.folder, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)


def _open_log(path):
    """Open the log without a buffer, whose bytes a full disk would not let go."""
    return open(path, "r+b", buffering=0)


def _write_all(file, data):
    """Write all bytes to an unbuffered file, which may take a part at a time."""
    rest = memoryview(data)
    while rest:
        rest = rest[file.write(rest) :]


def _read_identity(path):
    """Return the identity in a file.

    Raises:
        StorageError: If the file is damaged.
    """
    try:
        return msgspec.json.decode(path.read_bytes(), type=_Identity)
    except msgspec.MsgspecError as exc:
        raise StorageError(f"{str(path)!r} is damaged: {exc}; {_RESTORE_HINT}") from exc


def _encode_record(hard_state, entries):
    """Return one encoded record.

    It consists of the payload's length, a CRC-32 of the length, a CRC-32 of the
    payload, and the payload.
    """
    payload = msgspec.msgpack.encode((hard_state, entries))
    length = struct.pack("<I", len(payload))
    header = _HEADER.pack(len(payload), zlib.crc32(length), zlib.crc32(payload))
    return header + payload


def _read_record(raw, start):
    """Return payload and end offset of the record at an offset.

    Returns None if there is no complete and undamaged record.
    """
    if start + _HEADER.size > len(raw):
        return None
    length, length_crc, crc = _HEADER.unpack_from(raw, start)
    if zlib.crc32(struct.pack("<I", length)) != length_crc:
        return None
    end = start + _HEADER.size + length
    payload = raw[start + _HEADER.size : end]
    if length > MAX_RECORD_BYTES or end > len(raw) or zlib.crc32(payload) != crc:
        return None
    return payload, end


def _check_tail(raw, start, path):
    """Check that a damaged record is the last one, the only one a crash can damage.

    Raises:
        StorageError: If intact records follow.
    """
    for offset in range(start + 1, len(raw) - _HEADER.size + 1):
        if _read_record(raw, offset) is not None:
            raise StorageError(
                f"{str(path)!r} is damaged at byte {start}, before intact records; "
                "move the data folder away and start with an empty one"
            )


def _read_snapshot(path):
    """Return the snapshot in a file.

    Raises:
        StorageError: If the file is damaged.
    """
    try:
        stored = msgspec.msgpack.decode(path.read_bytes(), type=_SnapshotFile)
        if zlib.crc32(stored.data) != stored.crc:
            raise StorageError(f"{str(path)!r} is damaged; {_RESTORE_HINT}")
        return msgspec.msgpack.decode(stored.data, type=Snapshot)
    except msgspec.MsgspecError as exc:
        raise StorageError(f"{str(path)!r} is damaged: {exc}; {_RESTORE_HINT}") from exc


_RESTORE_HINT = "move the data folder away and start with an empty one"
