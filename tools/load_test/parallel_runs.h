// Many runs of this program side by side, a few at a time, each in a process of its own.
#pragma once

#include <functional>
#include <string>
#include <vector>

namespace load_test {

struct Job {
  std::vector<std::string> arguments;  // of this program
  int exit = -1;                       // 128 + the signal, if one ended it
};
// 'done' is called as each ends, in the order of their ends.
void play(std::vector<Job>& jobs, int lanes, const std::function<void(Job&)>& done);
std::string own_path();
std::string own_folder();

}  // namespace load_test
