#include "endivecart/control/data_folder.h"

#include <Poco/UUIDGenerator.h>
#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <sstream>

#include "endivecart/control/frame.h"

namespace endivecart::control {

namespace {

namespace fs = std::filesystem;

constexpr char kIdentityName[] = "identity";
constexpr char kLogPrefix[] = "log-";
constexpr char kTemporarySuffix[] = ".new";
constexpr int kFileMode = 0600;

auto SystemError(const std::string& what) {
  const int error = errno;
  const auto code = error == ENOSPC || error == EDQUOT ? StorageErrorCode::kFull
                                                       : StorageErrorCode::kIo;
  return Fail(StorageError{code, what + ": " + std::strerror(error)});
}

auto Damaged(const std::string& file, const std::string& why) {
  return Fail(StorageError{StorageErrorCode::kDamaged, file + ": " + why});
}

Result<std::string, StorageError> ReadFile(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  std::ostringstream out;
  out << in.rdbuf();
  if (!in)
    return SystemError("cannot read " + file);
  return out.str();
}

// Removes what a crash left of files that were not complete.
void RemoveTemporaryFiles(const std::string& folder) {
  std::error_code ignored;
  for (const auto& entry : fs::directory_iterator(folder)) {
    if (entry.path().extension() == kTemporarySuffix)
      fs::remove(entry.path(), ignored);
  }
}

// Returns the records as the payload of one frame.
std::string EncodeRecords(const std::vector<wire::DurableRecord>& records) {
  std::string payload;
  for (const wire::DurableRecord& record : records) {
    const std::string bytes = record.SerializeAsString();
    const auto size = static_cast<std::uint32_t>(bytes.size());
    payload.append(reinterpret_cast<const char*>(&size), sizeof size);
    payload += bytes;
  }
  return payload;
}

bool DecodeRecords(std::string_view payload,
                   const std::function<void(const wire::DurableRecord&)>& use) {
  while (!payload.empty()) {
    std::uint32_t size = 0;
    if (payload.size() < sizeof size)
      return false;
    std::memcpy(&size, payload.data(), sizeof size);
    payload.remove_prefix(sizeof size);
    wire::DurableRecord record;
    if (payload.size() < size ||
        !record.ParseFromArray(payload.data(), static_cast<int>(size))) {
      return false;
    }
    payload.remove_prefix(size);
    use(record);
  }
  return true;
}

}  // namespace

void ApplyRecord(const wire::DurableRecord& record, RaftDurableState& state) {
  if (record.has_vote()) {
    state.term = record.vote().term();
    state.voted_for = MemberId(record.vote().voted_for());
    return;
  }
  // An entry replaces the entries from its index on: a snapshot may have been
  // saved with entries whose own records follow it.
  const std::uint64_t from =
      record.has_entry() ? record.entry().index() : record.truncate_from();
  while (!state.entries.empty() && state.entries.back().index() >= from)
    state.entries.pop_back();
  if (record.has_entry() && from > state.snapshot.last_index())
    state.entries.push_back(record.entry());
}

DataFolder::~DataFolder() {
  if (log_fd_ >= 0)
    ::close(log_fd_);
}

Result<std::unique_ptr<DataFolder>, StorageError> DataFolder::Open(
    const std::string& path,
    const HostId& host,
    bool as_founder,
    FileCalls calls) {
  std::error_code error;
  fs::create_directories(path, error);
  if (error) {
    return Fail(
        StorageError{StorageErrorCode::kIo, path + ": " + error.message()});
  }
  std::unique_ptr<DataFolder> folder(new DataFolder(path, std::move(calls)));
  if (auto ok = folder->LoadIdentity(host, as_founder); !ok)
    return Fail(ok.error());
  RemoveTemporaryFiles(path);
  if (auto ok = folder->LoadLog(); !ok)
    return Fail(ok.error());
  return folder;
}

Result<bool, StorageError> DataFolder::LoadIdentity(const HostId& host,
                                                    bool as_founder) {
  const std::string file = path_ + "/" + kIdentityName;
  wire::DataFolderIdentity identity;
  if (!fs::exists(file)) {
    for (const auto& entry : fs::directory_iterator(path_)) {
      if (entry.path().filename().string().starts_with(kLogPrefix))
        return Damaged(file, "missing, but the folder contains a log");
    }
    identity.set_host(host.str());
    identity.set_member(as_founder ? kFounderIdentity
                                   : Poco::UUIDGenerator::defaultGenerator()
                                         .createRandom()
                                         .toString());
    if (auto ok = WriteFileAtomically(
            kIdentityName, EncodeFrame(identity.SerializeAsString()));
        !ok) {
      return ok;
    }
  }
  const auto content = ReadFile(file);
  if (!content)
    return Fail(content.error());
  const FrameScan scan = ScanFrames(*content);
  if (scan.payloads.size() != 1 || scan.end != FrameScanEnd::kClean ||
      !identity.ParseFromString(scan.payloads.front())) {
    return Damaged(file, "unreadable");
  }
  if (identity.host() != host.str()) {
    return Fail(
        StorageError{StorageErrorCode::kForeign,
                     path_ + " belongs to host '" + identity.host() + "'"});
  }
  member_ = MakeMemberId(host, identity.member());
  is_founder_ = identity.member() == kFounderIdentity;
  return true;
}

std::optional<std::string> DataFolder::LoadFile(const std::string& name) const {
  const std::string file = path_ + "/" + name;
  if (!fs::exists(file))
    return std::nullopt;
  const auto content = ReadFile(file);
  const FrameScan scan = ScanFrames(content ? *content : "");
  if (scan.payloads.size() != 1 || scan.end != FrameScanEnd::kClean) {
    LogLine("control.file_damaged").Add("file", file).Warn();
    return std::nullopt;
  }
  return scan.payloads.front();
}

Result<bool, StorageError> DataFolder::SaveFile(
    const std::string& name,
    const std::string& contents) const {
  return WriteFileAtomically(name, EncodeFrame(contents));
}

std::string DataFolder::LogName(std::uint64_t number) const {
  return kLogPrefix + std::to_string(number);
}

Result<bool, StorageError> DataFolder::LoadLog() {
  std::uint64_t newest = 0;
  bool any = false;
  for (const auto& entry : fs::directory_iterator(path_)) {
    const std::string name = entry.path().filename().string();
    const std::string number =
        name.substr(std::min(name.size(), std::strlen(kLogPrefix)));
    if (!name.starts_with(kLogPrefix) || number.empty() ||
        number.find_first_not_of("0123456789") != std::string::npos) {
      continue;
    }
    any = true;
    newest = std::max<std::uint64_t>(
        newest, std::strtoull(number.c_str(), nullptr, 10));
  }
  if (!any) {
    const wire::DurableSnapshot empty;
    return SaveSnapshot(empty, {}, {});
  }
  if (auto ok = ReadLogFile(newest); !ok)
    return ok;
  log_number_ = newest;
  log_state_ = LogState::kNotOpened;
  if (auto ok = PrepareLog(); !ok) {
    if (ok.error().code != StorageErrorCode::kFull)
      return ok;
    // The next record tries again.
    LogLine("control.log_not_ready").Add("detail", ok.error().detail).Warn();
  }
  return true;
}

Result<bool, StorageError> DataFolder::ReadLogFile(std::uint64_t number) {
  const std::string file = path_ + "/" + LogName(number);
  const auto content = ReadFile(file);
  if (!content)
    return Fail(content.error());
  const FrameScan scan = ScanFrames(*content);
  if (scan.end == FrameScanEnd::kDamaged) {
    return Damaged(file, "a record at byte " +
                             std::to_string(scan.valid_bytes) +
                             " is damaged, but later ones are intact");
  }
  // The snapshot was synced before the file was renamed to its final name, so
  // it cannot be torn.
  if (scan.payloads.empty() ||
      !loaded_.snapshot.ParseFromString(scan.payloads.front())) {
    return Damaged(file, "the snapshot at the start is unreadable");
  }
  for (std::size_t i = 1; i < scan.payloads.size(); ++i) {
    if (!DecodeRecords(scan.payloads[i], [&](const auto& record) {
          ApplyRecord(record, loaded_);
        })) {
      return Damaged(file, "a record is malformed");
    }
  }
  std::uint64_t next = loaded_.snapshot.last_index() + 1;
  for (const wire::LogEntry& entry : loaded_.entries) {
    if (entry.index() != next++)
      return Damaged(file, "an entry is missing");
  }
  if (scan.end == FrameScanEnd::kTornTail) {
    LogLine("control.torn_tail")
        .Add("file", file)
        .Add("cut_bytes",
             static_cast<std::int64_t>(content->size() - scan.valid_bytes))
        .Warn();
  }
  log_bytes_ = scan.valid_bytes;
  return true;
}

Result<bool, StorageError> DataFolder::OpenLog(std::uint64_t number) {
  if (log_fd_ >= 0)
    ::close(log_fd_);
  const std::string file = path_ + "/" + LogName(number);
  log_fd_ = ::open(file.c_str(), O_WRONLY | O_CLOEXEC);
  if (log_fd_ < 0)
    return SystemError("cannot open " + file);
  // Truncates a torn tail, so that new records follow the valid ones.
  if (calls_.truncate(log_fd_, static_cast<off_t>(log_bytes_)) != 0 ||
      ::lseek(log_fd_, 0, SEEK_END) < 0 || calls_.sync_data(log_fd_) != 0) {
    return SystemError("cannot prepare " + file);
  }
  return true;
}

Result<bool, StorageError> DataFolder::SyncFolder() const {
  const int folder = ::open(path_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (folder < 0)
    return SystemError("cannot open " + path_);
  const bool synced = calls_.sync_folder(folder) == 0;
  const int error = errno;
  ::close(folder);
  errno = error;
  if (!synced)
    return SystemError("cannot sync " + path_);
  return true;
}

bool DataFolder::WriteAll(int file, std::string_view data) const {
  while (!data.empty()) {
    const ssize_t written = calls_.write(file, data.data(), data.size());
    if (written < 0 && errno == EINTR)
      continue;
    if (written <= 0)
      return false;
    data.remove_prefix(static_cast<std::size_t>(written));
  }
  return true;
}

Result<bool, StorageError> DataFolder::ReplaceFile(
    const std::string& name,
    const std::string& content) const {
  const std::string file = path_ + "/" + name;
  const std::string temporary = file + kTemporarySuffix;
  const int out = ::open(temporary.c_str(),
                         O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, kFileMode);
  if (out < 0)
    return SystemError("cannot create " + temporary);
  const bool written = WriteAll(out, content) && calls_.sync_file(out) == 0;
  const int error = errno;
  ::close(out);
  errno = error;
  if (!written) {
    auto failure = SystemError("cannot write " + temporary);
    ::unlink(temporary.c_str());
    return failure;
  }
  if (calls_.rename(temporary.c_str(), file.c_str()) != 0) {
    auto failure = SystemError("cannot rename " + temporary);
    ::unlink(temporary.c_str());
    return failure;
  }
  return true;
}

Result<bool, StorageError> DataFolder::WriteFileAtomically(
    const std::string& name,
    const std::string& content) const {
  if (auto ok = ReplaceFile(name, content); !ok)
    return ok;
  return SyncFolder();
}

Result<bool, StorageError> DataFolder::PrepareLog() {
  if (log_state_ == LogState::kUnknown) {
    return Fail(StorageError{StorageErrorCode::kIo,
                             "an earlier sync of the log failed"});
  }
  if (log_state_ == LogState::kNotOpened) {
    if (auto ok = SyncFolder(); !ok)
      return ok;
    if (auto ok = OpenLog(log_number_); !ok)
      return ok;
    log_state_ = LogState::kReady;
    RemoveOlderLogs();
  }
  if (log_state_ == LogState::kTornTail) {
    if (calls_.truncate(log_fd_, static_cast<off_t>(log_bytes_)) != 0 ||
        ::lseek(log_fd_, 0, SEEK_END) < 0) {
      return SystemError("cannot truncate the log");
    }
    log_state_ = LogState::kReady;
  }
  return true;
}

Result<bool, StorageError> DataFolder::Append(
    const std::vector<wire::DurableRecord>& records) {
  if (auto ok = PrepareLog(); !ok)
    return ok;
  const std::string frame = EncodeFrame(EncodeRecords(records));
  if (!WriteAll(log_fd_, frame)) {
    Result<bool, StorageError> failure = SystemError("cannot write the log");
    log_state_ = LogState::kTornTail;
    if (auto ok = PrepareLog(); !ok) {
      LogLine("control.log_not_truncated")
          .Add("detail", ok.error().detail)
          .Warn();
    }
    return failure;
  }
  if (calls_.sync_data(log_fd_) != 0) {
    Result<bool, StorageError> failure = SystemError("cannot sync the log");
    // Without space for the new records, the synced ones are intact. After any
    // other error, the content of the disk is unknown.
    log_state_ = failure.error().code == StorageErrorCode::kFull
                     ? LogState::kTornTail
                     : LogState::kUnknown;
    return failure;
  }
  log_bytes_ += frame.size();
  return true;
}

Result<bool, StorageError> DataFolder::SaveSnapshot(
    const wire::DurableSnapshot& snapshot,
    const wire::DurableVote& vote,
    const std::vector<wire::LogEntry>& entries) {
  std::vector<wire::DurableRecord> records;
  if (vote.term() > 0)
    *records.emplace_back().mutable_vote() = vote;
  for (const wire::LogEntry& entry : entries)
    *records.emplace_back().mutable_entry() = entry;
  std::string content = EncodeFrame(snapshot.SerializeAsString());
  if (!records.empty())
    content += EncodeFrame(EncodeRecords(records));
  const std::uint64_t number = log_number_ + 1;
  if (auto ok = ReplaceFile(LogName(number), content); !ok)
    return ok;
  // A restart may read the new file from now on, so no record may be appended
  // to the older one, even if the next steps fail.
  log_number_ = number;
  log_bytes_ = content.size();
  log_state_ = LogState::kNotOpened;
  return PrepareLog();
}

void DataFolder::RemoveOlderLogs() const {
  std::error_code ignored;
  for (const auto& entry : fs::directory_iterator(path_)) {
    const std::string name = entry.path().filename().string();
    const bool is_log = name.starts_with(kLogPrefix);
    if (is_log && name != LogName(log_number_))
      fs::remove(entry.path(), ignored);
  }
}

}  // namespace endivecart::control
