// A temporary folder with a path for a control socket. Only for the tests of src/hot_restart.
#pragma once

#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <string>

namespace puffinvane::test {

// A temporary folder in which the path for the control socket exceeds the system's limit for socket paths.
// The destructor removes the folder.
class ControlFolder {
 public:
  ControlFolder() {
    std::string pattern = testing::TempDir() + "hot_restart_XXXXXX";
    EXPECT_NE(mkdtemp(pattern.data()), nullptr);
    folder_ = pattern;
    const std::filesystem::path nested = folder_ / std::string(120, 'x');
    std::filesystem::create_directory(nested);
    path_ = nested / "control";
  }
  ControlFolder(const ControlFolder&) = delete;
  ControlFolder& operator=(const ControlFolder&) = delete;
  ~ControlFolder() { std::filesystem::remove_all(folder_); }

  std::string path() const { return path_; }

 private:
  std::filesystem::path folder_;
  std::filesystem::path path_;
};

}  // namespace puffinvane::test
