// Splits the text of a site file into tokens, one at a time, so that the memory needed doesn't grow with the
// file.
#pragma once

#include <string>
#include <string_view>

#include "src/config/language/diagnostics.h"

namespace puffinvane::language {

struct Token {
  // EndOfItem: a new line or `;`.
  enum class Kind { Word, Quoted, Open, Close, Comma, EndOfItem, Comment, EndOfFile };
  Kind kind = Kind::EndOfFile;
  SourceLocation location;
  std::string_view raw;   // as written, including quotes
  bool new_line = false;  // of EndOfItem: a new line, not `;`
};

class Lexer {
 public:
  Lexer(int file, std::string_view text, Diagnostics& diagnostics);
  Token next();

 private:
  Token word();
  Token quoted();
  Token comment();
  Token single_character(Token::Kind kind);
  Token make_token(Token::Kind kind, std::size_t from, SourceLocation location) const;
  bool at_end() const { return at_ >= text_.size(); }
  char peek() const { return text_[at_]; }
  void skip_character();
  // Skips and reports invalid UTF-8, a control character or a misplaced byte order mark. Returns whether
  // there was one.
  bool skip_invalid();
  SourceLocation here() const;

  int file_;
  std::string_view text_;
  Diagnostics& diagnostics_;
  std::size_t at_ = 0;
  std::uint32_t line_ = 1, column_ = 1;
};

// The text that a quoted text stands for, with its escapes resolved. A word without quotes stands for itself.
std::string unquote(std::string_view raw);
std::string quote(std::string_view text);

}  // namespace puffinvane::language
