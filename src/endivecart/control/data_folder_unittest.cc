#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cerrno>
#include <filesystem>
#include <fstream>

#include "endivecart/control/control.h"
#include "endivecart/control/frame.h"
#include "support/temporary_folder.h"

namespace endivecart::control {
namespace {

namespace fs = std::filesystem;

const HostId kHost("a1");

wire::DurableRecord EntryRecord(std::uint64_t index) {
  wire::DurableRecord record;
  record.mutable_entry()->set_index(index);
  record.mutable_entry()->set_term(1);
  record.mutable_entry()->set_command("command " + std::to_string(index));
  return record;
}

fs::path LogFile(const TemporaryFolder& folder) {
  for (const auto& entry : fs::directory_iterator(folder.str())) {
    if (entry.path().filename().string().starts_with("log-"))
      return entry.path();
  }
  return {};
}

std::unique_ptr<DataFolder> OpenFolder(const TemporaryFolder& folder) {
  auto opened = DataFolder::Open(folder.str(), kHost, true);
  BOOST_REQUIRE(opened.has_value());
  return std::move(*opened);
}

void WriteEntries(const TemporaryFolder& folder, std::uint64_t count) {
  const auto data = OpenFolder(folder);
  for (std::uint64_t i = 1; i <= count; ++i)
    BOOST_REQUIRE(data->Append({EntryRecord(i)}).has_value());
}

// A disk that can be full at single steps of a write.
struct FullDisk {
  FileCalls Calls() {
    FileCalls calls;
    calls.write = [this](int file, const void* data, std::size_t size) {
      if (!write)
        return ::write(file, data, size);
      // What fits is written.
      if (size > 1)
        return ::write(file, data, size / 2);
      errno = ENOSPC;
      return ssize_t{-1};
    };
    const auto refuse_if = [](const bool& full, auto call) {
      return [&full, call](auto... args) {
        errno = ENOSPC;
        return full ? -1 : call(args...);
      };
    };
    calls.sync_data = refuse_if(sync, ::fdatasync);
    calls.sync_file = refuse_if(sync, ::fsync);
    calls.sync_folder = refuse_if(sync_folder, ::fsync);
    calls.truncate = refuse_if(truncate, ::ftruncate);
    calls.rename = refuse_if(rename, std::rename);
    return calls;
  }

  bool write = false;
  bool sync = false;
  bool sync_folder = false;
  bool truncate = false;
  bool rename = false;
};

std::unique_ptr<DataFolder> OpenFolder(const TemporaryFolder& folder,
                                       FullDisk& disk) {
  auto opened = DataFolder::Open(folder.str(), kHost, true, disk.Calls());
  BOOST_REQUIRE(opened.has_value());
  return std::move(*opened);
}

int TemporaryFiles(const TemporaryFolder& folder) {
  const fs::directory_iterator files(folder.str());
  return static_cast<int>(std::count_if(
      begin(files), end(files),
      [](const auto& entry) { return entry.path().extension() == ".new"; }));
}

BOOST_AUTO_TEST_SUITE(data_folder, *boost::unit_test::label("control"))

BOOST_AUTO_TEST_CASE(appended_entries_survive_a_restart) {
  const TemporaryFolder folder;
  WriteEntries(folder, 3);
  const auto data = OpenFolder(folder);
  BOOST_TEST(data->loaded().entries.size() == 3U);
  BOOST_TEST(data->member().str() == "a1@founder");
}

BOOST_AUTO_TEST_CASE(a_torn_tail_is_truncated_before_new_records) {
  const TemporaryFolder folder;
  WriteEntries(folder, 3);
  fs::resize_file(LogFile(folder), fs::file_size(LogFile(folder)) - 5);
  {
    const auto data = OpenFolder(folder);
    BOOST_TEST(data->loaded().entries.size() == 2U);
    BOOST_REQUIRE(data->Append({EntryRecord(3)}).has_value());
  }
  BOOST_TEST(OpenFolder(folder)->loaded().entries.size() == 3U);
}

BOOST_AUTO_TEST_CASE(
    a_damaged_record_before_the_end_is_refused_with_its_offset) {
  const TemporaryFolder folder;
  WriteEntries(folder, 3);
  std::fstream file(LogFile(folder),
                    std::ios::in | std::ios::out | std::ios::binary);
  file.seekp(60);
  file.put('\x7f');
  file.close();
  const auto opened = DataFolder::Open(folder.str(), kHost, true);
  BOOST_REQUIRE(!opened.has_value());
  BOOST_TEST((opened.error().code == StorageErrorCode::kDamaged));
  BOOST_TEST(opened.error().detail.find("at byte") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_log_truncated_anywhere_yields_its_complete_records) {
  std::string log;
  for (int i = 0; i < 4; ++i)
    log += EncodeFrame("record " + std::to_string(i));
  for (std::size_t length = 0; length <= log.size(); ++length) {
    const FrameScan scan = ScanFrames(log.substr(0, length));
    BOOST_TEST((scan.end != FrameScanEnd::kDamaged));
    BOOST_TEST(scan.payloads.size() == length / (log.size() / 4));
  }
}

BOOST_AUTO_TEST_CASE(a_host_that_lost_its_disk_rejoins_as_another_member) {
  const TemporaryFolder folder;
  WriteEntries(folder, 1);
  fs::remove_all(folder.str());
  const auto opened = DataFolder::Open(folder.str(), kHost, false);
  BOOST_REQUIRE(opened.has_value());
  BOOST_TEST((*opened)->member().str() != "a1@founder");
  BOOST_TEST(!(*opened)->is_founder());
}

BOOST_AUTO_TEST_CASE(a_folder_of_another_host_is_refused) {
  const TemporaryFolder folder;
  WriteEntries(folder, 1);
  const auto opened = DataFolder::Open(folder.str(), HostId("b1"), false);
  BOOST_REQUIRE(!opened.has_value());
  BOOST_TEST((opened.error().code == StorageErrorCode::kForeign));
}

BOOST_AUTO_TEST_CASE(a_log_without_its_identity_is_refused) {
  const TemporaryFolder folder;
  WriteEntries(folder, 1);
  fs::remove(folder.str() + "/identity");
  BOOST_TEST(!DataFolder::Open(folder.str(), kHost, true).has_value());
}

BOOST_AUTO_TEST_CASE(
    an_entry_in_both_snapshot_file_and_later_record_is_loaded_once) {
  // A snapshot is saved with an entry whose own record is appended after it;
  // the entry must not be loaded twice (random run, seeds 47 and 92).
  const TemporaryFolder folder;
  {
    const auto data = OpenFolder(folder);
    wire::DurableSnapshot snapshot;
    snapshot.set_last_index(1);
    snapshot.set_last_term(1);
    BOOST_REQUIRE(
        data->SaveSnapshot(snapshot, {}, {EntryRecord(2).entry()}).has_value());
    BOOST_REQUIRE(data->Append({EntryRecord(2), EntryRecord(3)}).has_value());
  }
  BOOST_TEST(OpenFolder(folder)->loaded().entries.size() == 2U);
}

BOOST_AUTO_TEST_CASE(a_file_beside_the_log_is_replaced_as_a_whole) {
  const TemporaryFolder folder;
  BOOST_TEST(!OpenFolder(folder)->LoadFile("state").has_value());
  BOOST_REQUIRE(OpenFolder(folder)->SaveFile("state", "one").has_value());
  BOOST_REQUIRE(OpenFolder(folder)->SaveFile("state", "two").has_value());
  BOOST_TEST(OpenFolder(folder)->LoadFile("state").value_or("") == "two");
  // What is damaged counts as absent, and doesn't keep the voter from starting.
  std::ofstream(folder.str() + "/state", std::ios::app) << "x";
  BOOST_TEST(!OpenFolder(folder)->LoadFile("state").has_value());
}

// Guards against appending to a log file that a restart doesn't read.
BOOST_AUTO_TEST_CASE(
    entries_appended_after_a_refused_sync_of_the_folder_survive_a_restart) {
  const TemporaryFolder folder;
  FullDisk disk;
  {
    const auto data = OpenFolder(folder, disk);
    BOOST_REQUIRE(data->Append({EntryRecord(1)}).has_value());
    wire::DurableSnapshot snapshot;
    disk.sync_folder = true;
    const auto saved =
        data->SaveSnapshot(snapshot, {}, {EntryRecord(1).entry()});
    BOOST_REQUIRE(!saved.has_value());
    BOOST_TEST((saved.error().code == StorageErrorCode::kFull));
    disk.sync_folder = false;
    BOOST_REQUIRE(data->Append({EntryRecord(2)}).has_value());
  }
  BOOST_TEST(OpenFolder(folder)->loaded().entries.size() == 2U);
}

// Guards against a log that stays unusable after its disk was full.
BOOST_AUTO_TEST_CASE(a_log_that_was_refused_at_sync_is_used_again) {
  const TemporaryFolder folder;
  FullDisk disk;
  {
    const auto data = OpenFolder(folder, disk);
    BOOST_REQUIRE(data->Append({EntryRecord(1)}).has_value());
    disk.sync = true;
    for (int i = 0; i < 3; ++i) {
      const auto refused = data->Append({EntryRecord(2)});
      BOOST_REQUIRE(!refused.has_value());
      BOOST_TEST((refused.error().code == StorageErrorCode::kFull));
    }
    disk.sync = false;
    BOOST_REQUIRE(data->Append({EntryRecord(2)}).has_value());
  }
  BOOST_TEST(OpenFolder(folder)->loaded().entries.size() == 2U);
}

// Guards against a log that stays unusable after its disk was full.
BOOST_AUTO_TEST_CASE(a_record_written_in_part_is_removed_once_there_is_room) {
  const TemporaryFolder folder;
  FullDisk disk;
  {
    const auto data = OpenFolder(folder, disk);
    BOOST_REQUIRE(data->Append({EntryRecord(1)}).has_value());
    disk.write = true;
    disk.truncate = true;
    for (int i = 0; i < 3; ++i) {
      const auto refused = data->Append({EntryRecord(2)});
      BOOST_REQUIRE(!refused.has_value());
      BOOST_TEST((refused.error().code == StorageErrorCode::kFull));
    }
    disk = {};
    BOOST_REQUIRE(data->Append({EntryRecord(2)}).has_value());
  }
  BOOST_TEST(OpenFolder(folder)->loaded().entries.size() == 2U);
}

// Guards against a voter that can't start until its disk has room.
BOOST_AUTO_TEST_CASE(a_folder_opens_while_its_disk_is_full) {
  const TemporaryFolder folder;
  WriteEntries(folder, 2);
  fs::resize_file(LogFile(folder), fs::file_size(LogFile(folder)) - 5);
  FullDisk disk{true, true, true, true, true};
  {
    const auto data = OpenFolder(folder, disk);
    BOOST_TEST(data->loaded().entries.size() == 1U);
    BOOST_TEST(!data->Append({EntryRecord(2)}).has_value());
    disk = {};
    BOOST_REQUIRE(data->Append({EntryRecord(2)}).has_value());
  }
  BOOST_TEST(OpenFolder(folder)->loaded().entries.size() == 2U);
}

// Guards against temporary files that keep a disk full.
BOOST_AUTO_TEST_CASE(no_temporary_file_outlives_a_refusal_or_a_restart) {
  const TemporaryFolder folder;
  FullDisk disk;
  const auto data = OpenFolder(folder, disk);
  disk.rename = true;
  BOOST_TEST(!data->SaveFile("state", "one").has_value());
  BOOST_TEST(!data->SaveSnapshot({}, {}, {}).has_value());
  BOOST_TEST(TemporaryFiles(folder) == 0);
  std::ofstream(folder.str() + "/state.new") << "left by a crash";
  OpenFolder(folder);
  BOOST_TEST(TemporaryFiles(folder) == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart::control
