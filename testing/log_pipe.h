// A pipe that can be filled up and left unread, as the log of a program under test.
#pragma once

#include <fcntl.h>
#include <unistd.h>

#include <cassert>
#include <cerrno>
#include <cstdio>
#include <string>
#include <utility>

#include "testing/peers.h"

namespace puffinvane::test {

class LogPipe {
 public:
  LogPipe() {
    int ends[2];
    assert(pipe2(ends, O_CLOEXEC) == 0);
    read_end_ = ends[0];
    write_end_ = ends[1];
    fcntl(read_end_, F_SETFL, O_NONBLOCK);
  }
  LogPipe(const LogPipe&) = delete;
  LogPipe& operator=(const LogPipe&) = delete;
  ~LogPipe() {
    close(read_end_);
    close(write_end_);
  }
  // The end that the program writes to; writes block once the pipe is full.
  int write_end() const { return write_end_; }
  // Fills the pipe to its last byte, through a separate open file description, so that the write end stays
  // blocking.
  void fill() const {
    const std::string path = "/proc/self/fd/" + std::to_string(write_end_);
    const int filling = open(path.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC);
    assert(filling >= 0);
    for (const std::string& part : {std::string(4096, '.'), std::string(1, '.')}) {
      while (write(filling, part.data(), part.size()) > 0) {
      }
      assert(errno == EAGAIN);
    }
    close(filling);
  }
  // Everything in the pipe.
  std::string read_all() const {
    std::string text;
    char bytes[4096];
    for (ssize_t count = 0; (count = read(read_end_, bytes, sizeof bytes)) > 0;) {
      text.append(bytes, std::size_t(count));
    }
    return text;
  }
  // Everything written until it contains `word`, or until the time is over.
  std::string read_until(const std::string& word, double deadline_s) const {
    std::string text;
    for (double until = now() + deadline_s; text.find(word) == std::string::npos && now() < until;) {
      text += read_all();
      sleep_for(0.005);
    }
    return text;
  }

 private:
  int read_end_ = -1;
  int write_end_ = -1;
};

// While this object exists, child processes inherit the pipe as standard output and standard error.
class InheritedOutput {
 public:
  explicit InheritedOutput(const LogPipe& pipe)
      : output_(fcntl(STDOUT_FILENO, F_DUPFD_CLOEXEC, 3)), error_(fcntl(STDERR_FILENO, F_DUPFD_CLOEXEC, 3)) {
    std::fflush(stdout);
    dup2(pipe.write_end(), STDOUT_FILENO);
    dup2(pipe.write_end(), STDERR_FILENO);
  }
  InheritedOutput(const InheritedOutput&) = delete;
  InheritedOutput& operator=(const InheritedOutput&) = delete;
  ~InheritedOutput() {
    dup2(output_, STDOUT_FILENO);
    dup2(error_, STDERR_FILENO);
    close(output_);
    close(error_);
  }

 private:
  int output_;
  int error_;
};

}  // namespace puffinvane::test
