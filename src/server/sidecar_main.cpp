// Without arguments the platform's sidecar, told by BALANCER_CONFIG. With them it becomes the command line, a
// program of its own beside it: the sidecar at rest was 0.3 MB heavier with all of that in it.
#include <unistd.h>

#include <filesystem>
#include <iostream>

#include "src/server/run.h"

int main(int count, char** words) {
  if (count <= 1) return puffinvane::run_sidecar(puffinvane::make_policy);
  std::error_code fault;
  std::filesystem::path own = std::filesystem::read_symlink("/proc/self/exe", fault);
  std::filesystem::path beside = own.parent_path() / "puffinvane_command";
  execv(beside.c_str(), words);
  std::cerr << "puffinvane: " << beside.string() << " can't be started; it belongs beside this program\n";
  return 2;
}
