// The syntax of a site file as a tree that keeps its comments, and the way back to text.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "src/config/language/diagnostics.h"

namespace puffinvane::language {

struct Comment {
  std::string_view text;  // with its `#`
  bool blank_before = false;
};

struct Argument {
  std::string_view raw;
  SourceLocation location;
  bool quoted = false, after_comma = false;
};

// `word argument argument, argument { items }`
struct Item {
  std::string_view word;
  SourceLocation location;
  std::vector<Argument> arguments;
  bool has_block = false;
  std::vector<Item> block;
  std::vector<Comment> before;       // on lines of their own above it
  std::string_view after_open = {};  // behind its `{`
  std::string_view after = {};       // behind all of it
  std::vector<Comment> at_close;     // above its `}`
  bool blank_before = false;
  bool is_malformed = false;  // the parser has said something of it: what it lacks may only be lost
};

struct Tree {
  std::vector<Item> items;
  std::vector<Comment> at_end;
};

// Words and arguments that all files of a site may have together: a tree takes some hundred bytes for each.
constexpr std::size_t kMaxTreeElements = 8'000'000;
// Goes on after an error and says all that it finds. The tree points into the text. room: what is left of
// kMaxTreeElements.
Tree parse(int file, std::string_view text, Diagnostics& diagnostics, std::size_t& room);
Tree parse(int file, std::string_view text, Diagnostics& diagnostics);
// In the one layout that there is. Doing it twice changes nothing.
std::string format(const Tree& tree);
bool is_equivalent(const Tree& one, const Tree& other);  // words, arguments and blocks; no comments

}  // namespace puffinvane::language
