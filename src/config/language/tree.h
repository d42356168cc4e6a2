// The syntax tree of a site file, which includes its comments, and its conversion back to text.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "src/config/language/diagnostics.h"

namespace puffinvane::language {

struct Comment {
  std::string_view text;  // including the `#`
  bool blank_line_before = false;
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
  std::vector<Comment> comments_before;      // on lines of their own
  std::string_view comment_after_open = {};  // on the line of its `{`
  std::string_view trailing_comment = {};    // on its last line
  std::vector<Comment> comments_at_end;      // on lines of their own before its `}`
  bool blank_line_before = false;
  // The parser reported an error in this item: arguments or contents may be missing from it.
  bool is_malformed = false;
};

struct Tree {
  std::vector<Item> items;
  std::vector<Comment> comments_at_end;
};

// The limit of words, texts and comments in all files of a site together. Each takes some hundred bytes in a
// tree.
constexpr std::size_t kMaxTreeElements = 8'000'000;
// Continues after an error, so that all errors are reported. The tree refers to the text, which has to
// outlive it. remaining_elements: what is left of kMaxTreeElements.
Tree parse(int file, std::string_view text, Diagnostics& diagnostics, std::size_t& remaining_elements);
Tree parse(int file, std::string_view text, Diagnostics& diagnostics);
// The text in the standard layout. Formatting the result again doesn't change it.
std::string format(const Tree& tree);
// Whether words, arguments and blocks are equal. Ignores comments and layout.
bool is_equivalent(const Tree& one, const Tree& other);

}  // namespace puffinvane::language
