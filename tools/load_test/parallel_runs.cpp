#include "tools/load_test/parallel_runs.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <map>
#include <stdexcept>

namespace load_test {

std::string own_path() { return std::filesystem::read_symlink("/proc/self/exe").string(); }
std::string own_folder() { return std::filesystem::path(own_path()).parent_path().string(); }

void play(std::vector<Job>& jobs, int lanes, const std::function<void(Job&)>& done) {
  std::map<pid_t, Job*> running;
  std::string program = own_path();
  std::size_t next = 0;
  while (next < jobs.size() || !running.empty()) {
    if (next < jobs.size() && int(running.size()) < lanes) {
      Job& job = jobs[next++];
      std::vector<char*> words{program.data()};
      for (std::string& word : job.arguments) words.push_back(word.data());
      words.push_back(nullptr);
      pid_t child = fork();
      if (child < 0) throw std::runtime_error("can't start a run");
      if (child == 0) {
        prctl(PR_SET_PDEATHSIG, SIGTERM);
        int nowhere = open("/dev/null", O_WRONLY);
        dup2(nowhere, 1);
        execv(program.c_str(), words.data());
        _exit(127);
      }
      running[child] = &job;
      continue;
    }
    int status = 0;
    pid_t ended = waitpid(-1, &status, 0);
    auto found = running.find(ended);
    if (found == running.end()) continue;
    found->second->exit = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    done(*found->second);
    running.erase(found);
  }
}

}  // namespace load_test
