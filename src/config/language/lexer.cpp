#include "src/config/language/lexer.h"

namespace puffinvane::language {

namespace {

// How many bytes the character has that begins here; 0: it is no UTF-8.
std::size_t size_of_character(std::string_view text) {
  auto byte = [&](std::size_t i) { return i < text.size() ? static_cast<unsigned char>(text[i]) : 0u; };
  auto more = [&](std::size_t i) { return (byte(i) & 0xc0) == 0x80; };
  unsigned first = byte(0), second = byte(1);
  if (first < 0x80) return 1;
  if (first < 0xc2) return 0;
  if (first < 0xe0) return more(1) ? 2 : 0;
  if (first < 0xf0) {
    bool overlong = first == 0xe0 && second < 0xa0, surrogate = first == 0xed && second >= 0xa0;
    return more(1) && more(2) && !overlong && !surrogate ? 3 : 0;
  }
  bool out = (first == 0xf0 && second < 0x90) || (first == 0xf4 && second >= 0x90) || first > 0xf4;
  return more(1) && more(2) && more(3) && !out ? 4 : 0;
}

bool control(char c) { return (static_cast<unsigned char>(c) < 0x20 && c != '\t' && c != '\n') || c == 0x7f; }
// The byte order mark. Inside a file nobody sees it, and moved to the front it would be gone.
constexpr std::string_view kMark = "\xef\xbb\xbf";

bool blank(char c) { return c == ' ' || c == '\t'; }
bool ends_word(char c) {
  return blank(c) || c == '\n' || c == '\r' || c == '{' || c == '}' || c == ',' || c == ';' || c == '"';
}

std::string hex(char c) {
  constexpr char kDigits[] = "0123456789abcdef";
  auto byte = static_cast<unsigned char>(c);
  return {'0', 'x', kDigits[byte >> 4], kDigits[byte & 15]};
}

}  // namespace

Lexer::Lexer(int file, std::string_view text, Diagnostics& diagnostics)
    : file_(file), text_(text), diagnostics_(diagnostics) {
  if (text_.starts_with(kMark)) at_ = kMark.size();  // some editors put it first
}

SourceLocation Lexer::here() const { return {file_, line_, column_, 1}; }

void Lexer::pass() {
  if (peek() == '\n') {
    ++at_, ++line_, column_ = 1;
    return;
  }
  std::size_t size = size_of_character(text_.substr(at_));
  at_ += size ? size : 1, ++column_;
}

bool Lexer::pass_doubtful() {
  bool crlf = peek() == '\r' && at_ + 1 < text_.size() && text_[at_ + 1] == '\n';
  if (text_.substr(at_).starts_with(kMark)) {
    diagnostics_.add(here(), "a byte order mark, which only stands first in a file");
    return pass(), true;
  }
  bool is_malformed = size_of_character(text_.substr(at_)) == 0;
  if (crlf || (!is_malformed && !control(peek()))) return false;
  SourceLocation location = here();
  char first = peek();
  location.length = 0;
  // A run of them is said once.
  while (!at_end() && (is_malformed ? size_of_character(text_.substr(at_)) == 0 : peek() == first))
    pass(), ++location.length;
  diagnostics_.add(location,
                   is_malformed ? "not UTF-8: byte " + hex(first) : "a control character, " + hex(first));
  return true;
}

Token Lexer::made(Token::Kind kind, std::size_t from, SourceLocation location) const {
  location.length = std::max<std::uint32_t>(1, line_ == location.line ? column_ - location.column : 1);
  return {kind, location, text_.substr(from, at_ - from), false};
}

Token Lexer::single(Token::Kind kind) {
  SourceLocation location = here();
  std::size_t from = at_;
  bool new_line = peek() == '\n';
  pass();
  return {kind, location, text_.substr(from, 1), new_line};
}

Token Lexer::next() {
  while (!at_end()) {
    char c = peek();
    if (blank(c) || (c == '\r' && at_ + 1 < text_.size() && text_[at_ + 1] == '\n')) {
      pass();
      continue;
    }
    if (pass_doubtful()) continue;
    switch (c) {
      case '\n':
      case ';': return single(Token::Kind::End);
      case '{': return single(Token::Kind::Open);
      case '}': return single(Token::Kind::Close);
      case ',': return single(Token::Kind::Comma);
      case '#': return comment();
      case '"': return quoted();
      default: return word();
    }
  }
  return {Token::Kind::Finish, here(), {}, false};
}

Token Lexer::word() {
  SourceLocation location = here();
  std::size_t from = at_;
  while (!at_end() && !ends_word(peek()) && !control(peek()) && size_of_character(text_.substr(at_)) > 0 &&
         !text_.substr(at_).starts_with(kMark))
    pass();
  return made(Token::Kind::Word, from, location);
}

Token Lexer::comment() {
  SourceLocation location = here();
  std::size_t from = at_;
  while (!at_end() && peek() != '\n') {
    if (!pass_doubtful() && peek() != '\n') pass();
    if (!at_end() && peek() == '\r' && at_ + 1 < text_.size() && text_[at_ + 1] == '\n') break;
  }
  Token token = made(Token::Kind::Comment, from, location);
  while (!token.raw.empty() && (blank(token.raw.back()) || token.raw.back() == '\r'))
    token.raw.remove_suffix(1);
  return token;
}

Token Lexer::quoted() {
  SourceLocation location = here();
  std::size_t from = at_;
  pass();
  while (!at_end() && peek() != '\n' && peek() != '"') {
    if (pass_doubtful()) continue;
    if (peek() == '\r') break;
    if (peek() != '\\') {
      pass();
      continue;
    }
    SourceLocation escape = here();
    pass();
    if (at_end() || peek() == '\n') break;
    if (std::string_view("\"\\nt").find(peek()) == std::string_view::npos) {
      escape.length = 2;
      diagnostics_.add(escape, "no such escape: there are \\\" \\\\ \\n and \\t",
                       "write \\\\ for a backslash");
    }
    pass();
  }
  if (at_end() || peek() != '"') {
    diagnostics_.add(location, "a text without its closing quote");
    return made(Token::Kind::Quoted, from, location);
  }
  pass();
  return made(Token::Kind::Quoted, from, location);
}

std::string unquote(std::string_view raw) {
  if (!raw.starts_with('"')) return std::string(raw);
  std::string text;
  raw.remove_prefix(1);
  if (raw.ends_with('"')) raw.remove_suffix(1);
  for (std::size_t i = 0; i < raw.size(); ++i) {
    if (raw[i] != '\\' || i + 1 == raw.size()) {
      text += raw[i];
      continue;
    }
    char c = raw[++i];
    text += c == 'n' ? '\n' : c == 't' ? '\t' : c;
  }
  return text;
}

std::string quoted(std::string_view text) {
  std::string out = "\"";
  for (char c : text) {
    if (c == '\n') out += "\\n";
    else if (c == '\t') out += "\\t";
    else if (c == '"' || c == '\\') out += {'\\', c};
    else out += c;
  }
  return out + '"';
}

}  // namespace puffinvane::language
