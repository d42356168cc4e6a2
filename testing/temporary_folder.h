// A temporary folder for the control sockets of the processes of one sidecar.
#pragma once

#include <cstdlib>
#include <filesystem>
#include <string>

namespace puffinvane::test {

// Exists, and is removed with what is in it, along with this object.
class TemporaryFolder {
 public:
  TemporaryFolder() {
    std::string pattern = std::filesystem::temp_directory_path() / "puffinvane_XXXXXX";
    if (mkdtemp(pattern.data())) path_ = pattern;
  }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;
  ~TemporaryFolder() {
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
  }
  std::string path() const { return path_; }

 private:
  std::filesystem::path path_;
};

}  // namespace puffinvane::test
