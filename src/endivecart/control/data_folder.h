#ifndef ENDIVECART_CONTROL_DATA_FOLDER_H_
#define ENDIVECART_CONTROL_DATA_FOLDER_H_

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "endivecart/control/file_calls.h"
#include "endivecart/control/storage.h"

namespace endivecart::control {

// Identity of the data folders created when a site is founded.
inline constexpr char kFounderIdentity[] = "founder";

// A voter's data folder: the file `identity`, and a log file `log-NUMBER` that
// starts with a snapshot. A new snapshot starts a new log file; the one with
// the highest number is used, and older ones are removed. Other state that may
// be lost is in files of its own.
class DataFolder final : public Storage {
 public:
  // Opens the folder. If it is missing or empty, creates it, with the founder
  // identity if `as_founder` and a random one otherwise.
  static Result<std::unique_ptr<DataFolder>, StorageError> Open(
      const std::string& path,
      const HostId& host,
      bool as_founder,
      FileCalls calls = {});
  ~DataFolder() override;
  DataFolder(const DataFolder&) = delete;
  DataFolder& operator=(const DataFolder&) = delete;

  const MemberId& member() const { return member_; }
  bool is_founder() const { return is_founder_; }

  // Returns the contents of a file that was saved by SaveFile(); nullopt if
  // there is none or it is damaged.
  std::optional<std::string> LoadFile(const std::string& name) const;
  // Replaces the file atomically and syncs it and the folder.
  Result<bool, StorageError> SaveFile(const std::string& name,
                                      const std::string& contents) const;

  const RaftDurableState& loaded() const override { return loaded_; }
  Result<bool, StorageError> Append(
      const std::vector<wire::DurableRecord>& records) override;
  Result<bool, StorageError> SaveSnapshot(
      const wire::DurableSnapshot& snapshot,
      const wire::DurableVote& vote,
      const std::vector<wire::LogEntry>& entries) override;

 private:
  enum class LogState {
    kReady,
    kNotOpened,  // the newest log file has its name, but may lose it yet
    kTornTail,   // a refused record may follow the valid ones
    kUnknown,    // after a failed sync, nothing is written
  };

  DataFolder(std::string path, FileCalls calls)
      : path_(std::move(path)), calls_(std::move(calls)) {}

  Result<bool, StorageError> LoadIdentity(const HostId& host, bool as_founder);
  Result<bool, StorageError> LoadLog();
  Result<bool, StorageError> ReadLogFile(std::uint64_t number);
  Result<bool, StorageError> SyncFolder() const;
  // Writes and syncs a new file and renames it to `name`.
  Result<bool, StorageError> ReplaceFile(const std::string& name,
                                         const std::string& content) const;
  Result<bool, StorageError> WriteFileAtomically(
      const std::string& name,
      const std::string& content) const;
  Result<bool, StorageError> OpenLog(std::uint64_t number);
  // Makes the log ready for the next record.
  Result<bool, StorageError> PrepareLog();
  bool WriteAll(int file, std::string_view data) const;
  std::string LogName(std::uint64_t number) const;
  void RemoveOlderLogs() const;

  const std::string path_;
  const FileCalls calls_;
  MemberId member_;
  bool is_founder_ = false;
  RaftDurableState loaded_;
  std::uint64_t log_number_ = 0;
  int log_fd_ = -1;  // -1 if not open
  std::uint64_t log_bytes_ = 0;
  LogState log_state_ = LogState::kReady;
};

}  // namespace endivecart::control

#endif  // ENDIVECART_CONTROL_DATA_FOLDER_H_
