// A site's text as tokens, one at a time: a file of a million lines is never held as tokens.
#pragma once

#include <string>
#include <string_view>

#include "src/config/language/diagnostics.h"

namespace puffinvane::language {

struct Token {
  // End: of an item, by a new line or `;`. Finish: of the file.
  enum class Kind { Word, Quoted, Open, Close, Comma, End, Comment, Finish };
  Kind kind = Kind::Finish;
  SourceLocation location;
  std::string_view raw;   // as written, quotes and all
  bool new_line = false;  // of End: by a new line
};

class Lexer {
 public:
  Lexer(int file, std::string_view text, Diagnostics& diagnostics);
  Token next();

 private:
  Token word();
  Token quoted();
  Token comment();
  Token single(Token::Kind kind);
  Token made(Token::Kind kind, std::size_t from, SourceLocation location) const;
  bool at_end() const { return at_ >= text_.size(); }
  char peek() const { return text_[at_]; }
  void pass();           // one character
  bool pass_doubtful();  // what is no character at all; says so
  SourceLocation here() const;

  int file_;
  std::string_view text_;
  Diagnostics& diagnostics_;
  std::size_t at_ = 0;
  std::uint32_t line_ = 1, column_ = 1;
};

// What a quoted text stands for; without quotes the word itself.
std::string unquote(std::string_view raw);
std::string quoted(std::string_view text);  // and back

}  // namespace puffinvane::language
