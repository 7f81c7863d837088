"""Keeps the replicated log and snapshots in a data folder, synced."""

import fcntl
import os
import pathlib
import secrets
import struct
import zlib

import attrs
import msgspec
from snipebay_control.raft_log import HardState, PersistentState, RaftLog, Snapshot
from snipebay_model.messages import LogEntry

__all__ = ["FOUNDER", "Storage", "StorageError"]

# Incarnation of the disks of instances that found the group together.
FOUNDER = "founder"

MAGIC = b"snipebay-log-1\n"
_HEADER = struct.Struct("<III")
RECORD_LIMIT_BYTES = 256 * 1024 * 1024


class StorageError(Exception):
    """A data folder that can't be used, with what a person should do."""


@attrs.define
class _Identity:
    """Whose data folder it is."""

    id: str
    incarnation: str


@attrs.define
class _SnapshotFile:
    """Snapshot with its checksum."""

    crc: int
    data: bytes


class Storage:
    """The data folder of one control instance.

    Args:
        folder: Path of the folder.
        instance_id: Id from the settings, which must own the folder.
        incarnation: Incarnation of an empty folder, drawn by lot when empty.

    Raises:
        StorageError: If the folder can't be written, belongs to another
            instance or holds damaged records before its end.
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
        self.incarnation = self._identify(instance_id, incarnation)
        self._hard_state = HardState()
        self._log = RaftLog()
        try:
            self._load()
        except OSError as exc:
            raise StorageError(f"{folder!r} can't be read: {exc}") from exc

    def load(self):
        """Return what the folder held."""
        return PersistentState(
            self._hard_state, self._log.snapshot, tuple(self._log.entries)
        )

    def save(self, ready):
        """Store the work of one turn and sync it.

        Raises:
            StorageError: If it can't be written; nothing of it may be told.
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
                self._rewrite()
            elif ready.needs_sync:
                self._write(ready.hard_state, ready.entries)
        except OSError as exc:
            raise StorageError(f"{self.folder} can't be written: {exc}") from exc

    def close(self):
        """Release the folder."""
        self._file.close()
        self._lock.close()

    # --- files ------------------------------------------------------------

    def _identify(self, instance_id, incarnation):
        """Return the incarnation of this disk, made when the folder was empty."""
        path = self.folder / "identity"
        if path.exists():
            found = msgspec.json.decode(path.read_bytes(), type=_Identity)
            if found.id != instance_id:
                raise StorageError(
                    f"{str(self.folder)!r} belongs to instance {found.id!r}, "
                    f"not {instance_id!r}"
                )
            return found.incarnation
        found = _Identity(instance_id, incarnation or secrets.token_hex(4))
        try:
            self._replace(path, msgspec.json.encode(found))
        except OSError as exc:
            raise StorageError(f"{self.folder} can't be written: {exc}") from exc
        return found.incarnation

    def _load(self):
        snapshot_path = self.folder / "snapshot"
        if snapshot_path.exists():
            self._log.reset(_read_snapshot(snapshot_path))
        path = self.folder / "log"
        if not path.exists():
            self._replace(path, MAGIC)
        raw = path.read_bytes()
        if not raw.startswith(MAGIC):
            raise StorageError(f"{str(path)!r} is not a log of this version")
        end = len(MAGIC)
        while (found := _read_record(raw, end)) is not None:
            payload, end = found
            self._take(payload)
        if end < len(raw):
            _check_tail(raw, end, path)
        self._file = open(path, "r+b")  # noqa: SIM115
        # What a crash left half-written was never told to anyone.
        self._file.truncate(end)
        self._file.seek(end)
        os.fdatasync(self._file.fileno())

    def _take(self, payload):
        """Put one record of the log into memory."""
        hard_state, entries = msgspec.msgpack.decode(
            payload, type=tuple[HardState | None, list[LogEntry]]
        )
        if hard_state is not None:
            self._hard_state = hard_state
        # A crash between snapshot and new log leaves entries in both.
        self._log.append([e for e in entries if e.index > self._log.snapshot.index])

    def _write(self, hard_state, entries):
        start = self._file.tell()
        try:
            self._file.write(_record(hard_state, entries))
            self._file.flush()
            os.fdatasync(self._file.fileno())
        except OSError:
            self._file.truncate(start)
            raise

    def _rewrite(self):
        """Write the snapshot, then a log with only what follows it."""
        data = msgspec.msgpack.encode(self._log.snapshot)
        packed = msgspec.msgpack.encode(_SnapshotFile(zlib.crc32(data), data))
        self._replace(self.folder / "snapshot", packed)
        log = MAGIC + _record(self._hard_state, self._log.entries)
        path = self.folder / "log"
        self._replace(path, log)
        self._file.close()
        self._file = open(path, "r+b")  # noqa: SIM115
        self._file.seek(len(log))

    def _replace(self, path, data):
        """Put a file in place of another so that a crash leaves one of them."""
        part = path.with_suffix(".part")
        with open(part, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        os.replace(part, path)
        folder = os.open(self.folder, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)


def _record(hard_state, entries):
    """Return the bytes of one record: length, two checksums, payload."""
    payload = msgspec.msgpack.encode((hard_state, entries))
    length = struct.pack("<I", len(payload))
    header = _HEADER.pack(len(payload), zlib.crc32(length), zlib.crc32(payload))
    return header + payload


def _read_record(raw, start):
    """Return payload and end of the record at an offset, or None."""
    if start + _HEADER.size > len(raw):
        return None
    length, length_crc, crc = _HEADER.unpack_from(raw, start)
    if zlib.crc32(struct.pack("<I", length)) != length_crc:
        return None
    end = start + _HEADER.size + length
    payload = raw[start + _HEADER.size : end]
    if length > RECORD_LIMIT_BYTES or end > len(raw) or zlib.crc32(payload) != crc:
        return None
    return payload, end


def _check_tail(raw, start, path):
    """Refuse a log with whole records behind a damaged one."""
    for offset in range(start + 1, len(raw) - _HEADER.size + 1):
        if _read_record(raw, offset) is not None:
            raise StorageError(
                f"{str(path)!r} is damaged at byte {start}, with whole records behind; "
                "move the data folder away and start with an empty one"
            )


def _read_snapshot(path):
    """Return the snapshot in a file."""
    try:
        stored = msgspec.msgpack.decode(path.read_bytes(), type=_SnapshotFile)
        if zlib.crc32(stored.data) != stored.crc:
            raise StorageError(f"{str(path)!r} is damaged; {_RESTORE_HINT}")
        return msgspec.msgpack.decode(stored.data, type=Snapshot)
    except msgspec.MsgspecError as exc:
        raise StorageError(f"{str(path)!r} is damaged: {exc}; {_RESTORE_HINT}") from exc


_RESTORE_HINT = "move the data folder away and start with an empty one"
