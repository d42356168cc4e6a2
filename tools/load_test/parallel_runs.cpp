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

std::string program_path() { return std::filesystem::read_symlink("/proc/self/exe").string(); }
std::string program_folder() { return std::filesystem::path(program_path()).parent_path().string(); }

void run_jobs(std::vector<Job>& jobs, int parallel, const std::function<void(Job&)>& done) {
  std::map<pid_t, Job*> running;
  std::string program = program_path();
  std::size_t next = 0;
  while (next < jobs.size() || !running.empty()) {
    if (next < jobs.size() && int(running.size()) < parallel) {
      Job& job = jobs[next++];
      std::vector<char*> argv{program.data()};
      for (std::string& argument : job.arguments) argv.push_back(argument.data());
      argv.push_back(nullptr);
      pid_t child = fork();
      if (child < 0) throw std::runtime_error("cannot start a run");
      if (child == 0) {
        prctl(PR_SET_PDEATHSIG, SIGTERM);
        int null_device = open("/dev/null", O_WRONLY);
        dup2(null_device, 1);
        execv(program.c_str(), argv.data());
        _exit(127);
      }
      running[child] = &job;
      continue;
    }
    int status = 0;
    pid_t pid = waitpid(-1, &status, 0);
    auto found = running.find(pid);
    if (found == running.end()) continue;
    found->second->exit_code = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    done(*found->second);
    running.erase(found);
  }
}

}  // namespace load_test
