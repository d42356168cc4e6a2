// Runs this program many times, in a limited number of parallel processes.
#pragma once

#include <functional>
#include <string>
#include <vector>

namespace load_test {

struct Job {
  std::vector<std::string> arguments;  // of the command line, without the program
  int exit_code = -1;                  // 128 + signal number if a signal ended the process
};
// Calls 'done' for each job as it ends.
void run_jobs(std::vector<Job>& jobs, int parallel, const std::function<void(Job&)>& done);
std::string program_path();
std::string program_folder();

}  // namespace load_test
