// From the files of a site to its model, with all that is wrong on the way.
#pragma once

#include <optional>
#include <string>

#include "src/config/language/diagnostics.h"
#include "src/config/site/site.h"

namespace puffinvane::language {

// Where files come from: the disk, or a test's memory.
class FileSource {
 public:
  virtual ~FileSource() = default;
  virtual std::optional<std::string> read(const std::string& path) = 0;
  virtual std::string canonical_path(
      const std::string& path) = 0;  // without links and dots, to tell where it lies
};

class DiskFileSource final : public FileSource {
 public:
  static constexpr std::size_t kMost = std::size_t{64} << 20;  // bytes of one file; a longer one isn't read
  std::optional<std::string> read(const std::string& path) override;
  std::string canonical_path(const std::string& path) override;
};

struct ReadResult {
  Sources sources;
  Diagnostics diagnostics;
  site::Site site;    // worth something only where there are no diagnostics
  bool found = true;  // the file itself
};

ReadResult read_site(const std::string& path, FileSource& files);

}  // namespace puffinvane::language
