// Reads a site from its files into the site model and collects the diagnostics.
#pragma once

#include <optional>
#include <string>

#include "src/config/language/diagnostics.h"
#include "src/config/site/site.h"

namespace puffinvane::language {

// Where files are read from: the disk, or memory in tests.
class FileSource {
 public:
  virtual ~FileSource() = default;
  virtual std::optional<std::string> read(const std::string& path) = 0;  // empty: can't be read
  // Without symbolic links, `.` and `..`, to check that a file lies inside the folder of the site.
  virtual std::string canonical_path(const std::string& path) = 0;
};

class DiskFileSource final : public FileSource {
 public:
  static constexpr std::size_t kMaxFileBytes = std::size_t{64} << 20;  // longer files aren't read
  std::optional<std::string> read(const std::string& path) override;
  std::string canonical_path(const std::string& path) override;
};

struct ReadResult {
  Sources sources;
  Diagnostics diagnostics;
  site::Site site;    // valid only if there are no diagnostics
  bool found = true;  // whether the main file could be read
};

ReadResult read_site(const std::string& path, FileSource& files);

}  // namespace puffinvane::language
