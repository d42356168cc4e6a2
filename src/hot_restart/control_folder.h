// A folder for the control socket of one of this folder's tests. Linked into no program.
#pragma once

#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <string>

namespace puffinvane::test {

// A temporary folder with a control path that is too long for a socket's name. Removed at the end.
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
