"""Tests for the data folder: durability and detection of damage."""

import pathlib
import resource
import tempfile
import unittest
from unittest import mock

from snipebay_control.raft import Ready
from snipebay_control.raft_log import HardState, Snapshot
from snipebay_model.messages import LogEntry
from snipebay_node.storage import Storage, StorageError


def entries(first, last, term=1):
    return [LogEntry(i, term, "command", b"x" * 50) for i in range(first, last + 1)]


class TestStorage(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name, "data")

    def open(self, instance_id="c1"):
        storage = Storage(str(self.folder), instance_id)
        self.addCleanup(storage.close)
        return storage

    def fill(self):
        storage = self.open()
        storage.save(Ready(hard_state=HardState(3, "c2#a"), entries=entries(1, 3)))
        storage.save(Ready(entries=entries(4, 6)))
        storage.close()

    def test_saved_state_is_restored(self):
        self.fill()
        stored = self.open().load()
        self.assertEqual(stored.hard_state, HardState(3, "c2#a"))
        self.assertEqual([e.index for e in stored.entries], [1, 2, 3, 4, 5, 6])

    def test_entries_overwritten_in_a_later_term_are_restored(self):
        self.fill()
        storage = self.open()
        storage.save(Ready(entries=entries(4, 4, term=2)))
        storage.close()
        stored = self.open().load()
        self.assertEqual([(e.index, e.term) for e in stored.entries][-1], (4, 2))

    def test_compaction_keeps_the_snapshot_and_later_entries(self):
        self.fill()
        storage = self.open()
        storage.save(Ready(compacted=Snapshot(4, 1, (("c1#a", True),), b"state")))
        storage.close()
        stored = self.open().load()
        self.assertEqual(stored.snapshot.data, b"state")
        self.assertEqual([e.index for e in stored.entries], [5, 6])
        self.assertEqual(stored.hard_state, HardState(3, "c2#a"))

    def test_incomplete_last_record_is_truncated(self):
        self.fill()
        path = self.folder / "log"
        content = path.read_bytes()
        for removed_bytes in range(1, 120, 7):
            with self.subTest(removed_bytes=removed_bytes):
                path.write_bytes(content[:-removed_bytes])
                storage = Storage(str(self.folder), "c1")
                found = [e.index for e in storage.load().entries]
                storage.close()
                self.assertEqual(found, [1, 2, 3])

    def test_damage_before_intact_records_is_rejected(self):
        self.fill()
        path = self.folder / "log"
        content = bytearray(path.read_bytes())
        for offset in (20, 24, 40):
            with self.subTest(offset=offset):
                damaged = bytearray(content)
                damaged[offset] ^= 0xFF
                path.write_bytes(damaged)
                with self.assertRaisesRegex(StorageError, "damaged at byte"):
                    Storage(str(self.folder), "c1")

    def test_damaged_snapshot_is_rejected(self):
        self.fill()
        storage = self.open()
        storage.save(Ready(compacted=Snapshot(4, 1, (), b"state")))
        storage.close()
        path = self.folder / "snapshot"
        raw = bytearray(path.read_bytes())
        raw[-3] ^= 0xFF
        path.write_bytes(raw)
        with self.assertRaisesRegex(StorageError, "damaged"):
            Storage(str(self.folder), "c1")

    def test_folder_of_another_instance_is_rejected(self):
        self.fill()
        with self.assertRaisesRegex(StorageError, "belongs to instance 'c1'"):
            Storage(str(self.folder), "c2")

    def test_folder_in_use_is_rejected(self):
        self.open()
        with self.assertRaisesRegex(StorageError, "in use"):
            Storage(str(self.folder), "c1")

    def test_folder_that_is_a_file_is_rejected(self):
        self.folder.write_text("")
        with self.assertRaisesRegex(StorageError, "can't be written"):
            Storage(str(self.folder), "c1")

    def test_full_disk_raises_and_keeps_earlier_entries(self):
        self.fill()
        storage = self.open()
        full = OSError(28, "No space left on device")
        with (
            mock.patch("os.fdatasync", side_effect=full),
            self.assertRaisesRegex(StorageError, "No space left"),
        ):
            storage.save(Ready(entries=entries(7, 7)))
        storage.close()
        stored = self.open().load()
        self.assertEqual(len(stored.entries), 6)

    def limit_file_size(self, size):
        """Let writes beyond a size fail, as on a full disk."""
        old = resource.getrlimit(resource.RLIMIT_FSIZE)
        self.addCleanup(resource.setrlimit, resource.RLIMIT_FSIZE, old)
        resource.setrlimit(resource.RLIMIT_FSIZE, (size, old[1]))
        return lambda: resource.setrlimit(resource.RLIMIT_FSIZE, old)

    def test_folder_on_a_full_disk_can_be_released_and_used_again(self):
        self.fill()
        storage = self.open()
        size = (self.folder / "log").stat().st_size
        free = self.limit_file_size(size + 10)
        with self.assertRaises(StorageError):
            storage.save(Ready(entries=entries(7, 9)))
        storage.close()
        free()
        reopened = self.open()
        self.assertEqual(len(reopened.load().entries), 6)
        reopened.save(Ready(entries=entries(7, 9)))
        reopened.close()
        self.assertEqual(len(self.open().load().entries), 9)

    def test_damaged_identity_is_rejected(self):
        self.fill()
        (self.folder / "identity").write_bytes(b"{")
        with self.assertRaisesRegex(StorageError, "damaged"):
            Storage(str(self.folder), "c1")

    def test_each_folder_has_its_own_incarnation(self):
        first = self.open().incarnation
        other = Storage(str(self.folder) + "2", "c1")
        self.addCleanup(other.close)
        self.assertNotEqual(first, other.incarnation)


if __name__ == "__main__":
    unittest.main()
