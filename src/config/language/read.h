// From the files of a site to its model, with all that is wrong on the way.
#pragma once

#include <optional>
#include <string>

#include "src/config/language/messages.h"
#include "src/config/site/site.h"

namespace puffinvane::language {

// Where files come from: the disk, or a test's memory.
class Files {
 public:
  virtual ~Files() = default;
  virtual std::optional<std::string> read(const std::string& path) = 0;
  virtual std::string real(const std::string& path) = 0;  // without links and dots, to tell where it lies
};

class Disk final : public Files {
 public:
  static constexpr std::size_t kMost = std::size_t{64} << 20;  // bytes of one file; a longer one isn't read
  std::optional<std::string> read(const std::string& path) override;
  std::string real(const std::string& path) override;
};

struct Reading {
  Sources sources;
  Messages messages;
  site::Site site;    // worth something only where there are no messages
  bool found = true;  // the file itself
};

Reading read_site(const std::string& path, Files& files);

}  // namespace puffinvane::language
