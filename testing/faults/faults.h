// Controls the faults that the library testing/faults injects into a program under test, and reads which were
// injected. The syntax of a schedule is described at the top of testing/faults/fault_injection.cpp.
#pragma once

#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace puffinvane::test {

class Faults {
 public:
  using Environment = std::vector<std::pair<std::string, std::string>>;

  // library: the path of libpuffinvane_faults.so. from_start: a schedule that applies from the first call on.
  // Throws if there is no such library: the loader would go on without it, and nothing would be tested.
  explicit Faults(std::string library, std::string from_start = "")
      : library_(std::move(library)),
        from_start_(std::move(from_start)),
        file_("/tmp/puffinvane-faults-" + std::to_string(getpid()) + "-" + std::to_string(++made_)) {
    if (access(library_.c_str(), R_OK) != 0) throw std::runtime_error("no library at " + library_);
    change("");
  }
  Faults(const Faults&) = delete;
  Faults& operator=(const Faults&) = delete;
  ~Faults() {
    std::remove(file_.c_str());
    std::remove((file_ + ".played").c_str());
  }

  // To be set for the program before it starts (SidecarProcess::Options::environment).
  Environment environment() const {
    return {{"LD_PRELOAD", library_},
            {"PUFFINVANE_FAULTS", from_start_},
            {"PUFFINVANE_FAULTS_FILE", file_},
            {"PUFFINVANE_FAULTS_PLAYED", file_ + ".played"}};
  }

  // Replaces the changeable schedule, which applies from the next call of the program on, in addition to
  // from_start; its counts restart.
  void change(const std::string& schedule) const {
    const std::string next = file_ + ".next";
    std::ofstream(next) << schedule;
    std::rename(next.c_str(), file_.c_str());
  }
  void stop() const { change(""); }

  // How many faults of a kind were injected: "send ENOBUFS", "recv short", "write stall".
  int injected_count(const std::string& what) const {
    std::ifstream lines(file_ + ".played");
    int count = 0;
    for (std::string line; std::getline(lines, line);) count += line == what;
    return count;
  }

 private:
  inline static int made_ = 0;
  std::string library_, from_start_, file_;
};

}  // namespace puffinvane::test
