#include "src/cli/cli.h"

int main(int count, char** words) { return puffinvane::cli::run(count, words); }
