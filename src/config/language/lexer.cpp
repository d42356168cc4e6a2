#include "src/config/language/lexer.h"

namespace puffinvane::language {

namespace {

// The size in bytes of the first UTF-8 character of the text; 0: it is invalid.
std::size_t character_size(std::string_view text) {
  auto byte = [&](std::size_t i) { return i < text.size() ? static_cast<unsigned char>(text[i]) : 0u; };
  auto is_continuation = [&](std::size_t i) { return (byte(i) & 0xc0) == 0x80; };
  unsigned first = byte(0), second = byte(1);
  if (first < 0x80) return 1;
  if (first < 0xc2) return 0;
  if (first < 0xe0) return is_continuation(1) ? 2 : 0;
  if (first < 0xf0) {
    bool overlong = first == 0xe0 && second < 0xa0, surrogate = first == 0xed && second >= 0xa0;
    return is_continuation(1) && is_continuation(2) && !overlong && !surrogate ? 3 : 0;
  }
  bool out_of_range = (first == 0xf0 && second < 0x90) || (first == 0xf4 && second >= 0x90) || first > 0xf4;
  return is_continuation(1) && is_continuation(2) && is_continuation(3) && !out_of_range ? 4 : 0;
}

bool is_control(char c) {
  return (static_cast<unsigned char>(c) < 0x20 && c != '\t' && c != '\n') || c == 0x7f;
}
// Rejected except at the start of a file: it is invisible, and if formatting moved it to the start, it would
// be lost.
constexpr std::string_view kByteOrderMark = "\xef\xbb\xbf";

bool is_blank(char c) { return c == ' ' || c == '\t'; }
bool ends_word(char c) {
  return is_blank(c) || c == '\n' || c == '\r' || c == '{' || c == '}' || c == ',' || c == ';' || c == '"';
}

std::string hex(char c) {
  constexpr char kDigits[] = "0123456789abcdef";
  auto byte = static_cast<unsigned char>(c);
  return {'0', 'x', kDigits[byte >> 4], kDigits[byte & 15]};
}

}  // namespace

Lexer::Lexer(int file, std::string_view text, Diagnostics& diagnostics)
    : file_(file), text_(text), diagnostics_(diagnostics) {
  if (text_.starts_with(kByteOrderMark)) at_ = kByteOrderMark.size();  // written by some editors
}

SourceLocation Lexer::here() const { return {file_, line_, column_, 1}; }

void Lexer::skip_character() {
  if (peek() == '\n') {
    ++at_;
    ++line_;
    column_ = 1;
    return;
  }
  std::size_t size = character_size(text_.substr(at_));
  at_ += size ? size : 1;
  ++column_;
}

bool Lexer::skip_invalid() {
  bool crlf = peek() == '\r' && at_ + 1 < text_.size() && text_[at_ + 1] == '\n';
  if (text_.substr(at_).starts_with(kByteOrderMark)) {
    diagnostics_.add(here(), "a byte order mark, which only stands first in a file");
    skip_character();
    return true;
  }
  bool is_invalid = character_size(text_.substr(at_)) == 0;
  if (crlf || (!is_invalid && !is_control(peek()))) return false;
  SourceLocation location = here();
  char first = peek();
  location.length = 0;
  // Several in a row are reported once.
  while (!at_end() && (is_invalid ? character_size(text_.substr(at_)) == 0 : peek() == first)) {
    skip_character();
    ++location.length;
  }
  diagnostics_.add(location,
                   is_invalid ? "not UTF-8: byte " + hex(first) : "a control character, " + hex(first));
  return true;
}

Token Lexer::make_token(Token::Kind kind, std::size_t from, SourceLocation location) const {
  location.length = std::max<std::uint32_t>(1, line_ == location.line ? column_ - location.column : 1);
  return {kind, location, text_.substr(from, at_ - from), false};
}

Token Lexer::single_character(Token::Kind kind) {
  SourceLocation location = here();
  std::size_t from = at_;
  bool new_line = peek() == '\n';
  skip_character();
  return {kind, location, text_.substr(from, 1), new_line};
}

Token Lexer::next() {
  while (!at_end()) {
    char c = peek();
    if (is_blank(c) || (c == '\r' && at_ + 1 < text_.size() && text_[at_ + 1] == '\n')) {
      skip_character();
      continue;
    }
    if (skip_invalid()) continue;
    switch (c) {
      case '\n':
      case ';': return single_character(Token::Kind::EndOfItem);
      case '{': return single_character(Token::Kind::Open);
      case '}': return single_character(Token::Kind::Close);
      case ',': return single_character(Token::Kind::Comma);
      case '#': return comment();
      case '"': return quoted();
      default: return word();
    }
  }
  return {Token::Kind::EndOfFile, here(), {}, false};
}

Token Lexer::word() {
  SourceLocation location = here();
  std::size_t from = at_;
  while (!at_end() && !ends_word(peek()) && !is_control(peek()) && character_size(text_.substr(at_)) > 0 &&
         !text_.substr(at_).starts_with(kByteOrderMark))
    skip_character();
  return make_token(Token::Kind::Word, from, location);
}

Token Lexer::comment() {
  SourceLocation location = here();
  std::size_t from = at_;
  while (!at_end() && peek() != '\n') {
    if (!skip_invalid() && peek() != '\n') skip_character();
    if (!at_end() && peek() == '\r' && at_ + 1 < text_.size() && text_[at_ + 1] == '\n') break;
  }
  Token token = make_token(Token::Kind::Comment, from, location);
  while (!token.raw.empty() && (is_blank(token.raw.back()) || token.raw.back() == '\r'))
    token.raw.remove_suffix(1);
  return token;
}

Token Lexer::quoted() {
  SourceLocation location = here();
  std::size_t from = at_;
  skip_character();
  while (!at_end() && peek() != '\n' && peek() != '"') {
    if (skip_invalid()) continue;
    if (peek() == '\r') break;
    if (peek() != '\\') {
      skip_character();
      continue;
    }
    SourceLocation escape = here();
    skip_character();
    if (at_end() || peek() == '\n') break;
    if (std::string_view("\"\\nt").find(peek()) == std::string_view::npos) {
      escape.length = 2;
      diagnostics_.add(escape, "no such escape: there are \\\" \\\\ \\n and \\t",
                       "write \\\\ for a backslash");
    }
    skip_character();
  }
  if (at_end() || peek() != '"') {
    diagnostics_.add(location, "a text without its closing quote");
    return make_token(Token::Kind::Quoted, from, location);
  }
  skip_character();
  return make_token(Token::Kind::Quoted, from, location);
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

std::string quote(std::string_view text) {
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
