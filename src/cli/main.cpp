#include "src/cli/cli.h"

int main(int argc, char** argv) { return puffinvane::cli::run(argc, argv); }
