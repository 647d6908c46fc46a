#ifndef TESTS_SUPPORT_TEMPORARY_FOLDER_H_
#define TESTS_SUPPORT_TEMPORARY_FOLDER_H_

#include <chrono>
#include <filesystem>
#include <string>

namespace endivecart {

// A folder that is removed at the end of the test.
class TemporaryFolder {
 public:
  TemporaryFolder()
      : path_(std::filesystem::temp_directory_path() /
              ("endivecart-test-" + std::to_string(counter_++) + "-" +
               std::to_string(std::chrono::steady_clock::now()
                                  .time_since_epoch()
                                  .count()))) {}
  ~TemporaryFolder() { std::filesystem::remove_all(path_); }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;
  std::string str() const { return path_; }

 private:
  static inline int counter_ = 0;
  std::filesystem::path path_;
};

}  // namespace endivecart

#endif  // TESTS_SUPPORT_TEMPORARY_FOLDER_H_
