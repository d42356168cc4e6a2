#include <algorithm>
#include <optional>

#include "src/config/language/lexer.h"
#include "src/config/language/tree.h"

namespace puffinvane::language {

namespace {

constexpr int kMaxDepth = 16;  // of nested blocks; valid sites need three

using Kind = Token::Kind;

class Parser {
 public:
  Parser(int file, std::string_view text, Diagnostics& diagnostics, std::size_t& remaining_elements)
      : lexer_(file, text, diagnostics),
        diagnostics_(diagnostics),
        remaining_elements_(remaining_elements),
        token_(lexer_.next()) {}

  Tree parse() {
    Tree tree;
    parse_items(tree.items, tree.comments_at_end, nullptr, 0);
    return tree;
  }

 private:
  void advance() {
    token_ = lexer_.next();
    if (!(at(Kind::Word) || at(Kind::Quoted) || at(Kind::Comment))) return;
    if (remaining_elements_ > 0 && --remaining_elements_ == 0)
      diagnostics_.add(token_.location, "the site is too large: nothing is read from here on");
    // Beyond the limit the parser sees the end of the file.
    gave_up_ = gave_up_ || remaining_elements_ == 0;
    if (remaining_elements_ == 0) token_ = {Kind::EndOfFile, token_.location, {}, false};
  }
  bool at(Kind kind) const { return token_.kind == kind; }

  // Parses the items of a block and its `}`, or of the file.
  void parse_items(std::vector<Item>& into, std::vector<Comment>& comments_at_end, const Token* open,
                   int depth) {
    std::vector<Comment> comments;
    int lines = 2;  // new lines since the last item or comment
    while (true) {
      switch (token_.kind) {
        case Kind::EndOfItem:
          lines += token_.new_line;
          advance();
          break;
        case Kind::Comment:
          comments.push_back({token_.raw, lines > 1 && !(into.empty() && comments.empty())});
          lines = 0;
          advance();
          break;
        case Kind::EndOfFile:
          if (open && !gave_up_) diagnostics_.add(open->location, "this `{` is never closed");
          comments_at_end = std::move(comments);
          return;
        case Kind::Close:
          if (open) {
            comments_at_end = std::move(comments);
            advance();
            return;
          }
          diagnostics_.add(token_.location, "a `}` too many");
          advance();
          break;
        case Kind::Word: {
          Item item;
          item.blank_line_before = lines > 1 && comments.empty() && !into.empty();
          item.comments_before = std::move(comments);
          comments.clear();
          parse_item(item, depth);
          into.push_back(std::move(item));
          lines = 0;
          break;
        }
        default: report_unexpected(into); lines = 0;
      }
    }
  }

  // Reports a token that can't begin an item, and skips the rest of its line.
  void report_unexpected(std::vector<Item>& into) {
    if (at(Kind::Open)) {
      std::string fix =
          into.empty() ? "" : "put the `{` on the line of `" + std::string(into.back().word) + "`";
      if (!into.empty()) into.back().is_malformed = true;
      diagnostics_.add(token_.location, "a block that belongs to no word", fix);
    } else {
      diagnostics_.add(token_.location, at(Kind::Comma)
                                            ? "a comma with nothing before it"
                                            : "a text where a word has to stand, as `pool` or `route`");
    }
    skip_line();
  }
  void skip_line() {
    while (!at(Kind::EndOfItem) && !at(Kind::Close) && !at(Kind::Comment) && !at(Kind::EndOfFile))
      at(Kind::Open) ? skip_block() : advance();
  }

  void parse_item(Item& item, int depth) {
    std::size_t errors_before = diagnostics_.count();
    item.word = token_.raw;
    item.location = token_.location;
    advance();
    std::optional<Token> comma;
    while (true) {
      if (at(Kind::Word) || at(Kind::Quoted)) {
        if (token_.raw == "=" || token_.raw == ":") {
          diagnostics_.add(token_.location, "no `" + std::string(token_.raw) + "` is needed here",
                           "write `" + std::string(item.word) + "` and its value, with a blank between");
          advance();
          continue;
        }
        item.arguments.push_back({token_.raw, token_.location, at(Kind::Quoted), comma.has_value()});
        comma.reset();
        advance();
      } else if (at(Kind::Comma)) {
        if (comma || item.arguments.empty())
          diagnostics_.add(token_.location, "a comma with nothing before it");
        comma = token_;
        advance();
        // After a comma a list continues on the next line that isn't empty or a comment.
        while ((at(Kind::EndOfItem) && token_.new_line) || at(Kind::Comment)) {
          if (at(Kind::Comment)) item.comments_before.push_back({token_.raw, false});
          advance();
        }
      } else {
        break;
      }
    }
    if (comma) diagnostics_.add(comma->location, "nothing comes after this comma");
    if (at(Kind::Open)) parse_block(item, depth);
    if (at(Kind::Comment)) {
      item.trailing_comment = token_.raw;
      advance();
    }
    if (at(Kind::Word) || at(Kind::Quoted) || at(Kind::Open) || at(Kind::Comma)) {
      diagnostics_.add(token_.location, "a new line or `;` has to come before this");
      if (!at(Kind::Word)) skip_line();
    }
    item.is_malformed = diagnostics_.count() != errors_before || (depth > 0 && at(Kind::EndOfFile));
  }

  void parse_block(Item& item, int depth) {
    Token open = token_;
    item.has_block = true;
    if (depth + 1 > kMaxDepth) {
      diagnostics_.add(open.location, "blocks within blocks, deeper than " + std::to_string(kMaxDepth));
      gave_up_ = true;
      return skip_block();
    }
    advance();
    if (at(Kind::Comment)) {
      item.comment_after_open = token_.raw;
      advance();
    }
    parse_items(item.block, item.comments_at_end, &open, depth + 1);
  }

  // Skips a block with all that it contains, without recursion.
  void skip_block() {
    int open = 0;
    do {
      open += at(Kind::Open);
      open -= at(Kind::Close);
      advance();
    } while (open > 0 && !at(Kind::EndOfFile));
  }

  bool gave_up_ = false;  // the rest of the file was skipped, so a missing `}` is not reported
  Lexer lexer_;
  Diagnostics& diagnostics_;
  std::size_t& remaining_elements_;
  Token token_;
};

bool equal_items(const std::vector<Item>& one, const std::vector<Item>& other) {
  auto equal_item = [](const Item& a, const Item& b) {
    auto equal_argument = [](const Argument& x, const Argument& y) {
      return x.raw == y.raw && x.after_comma == y.after_comma;
    };
    return a.word == b.word && a.has_block == b.has_block &&
           std::equal(a.arguments.begin(), a.arguments.end(), b.arguments.begin(), b.arguments.end(),
                      equal_argument) &&
           equal_items(a.block, b.block);
  };
  return std::equal(one.begin(), one.end(), other.begin(), other.end(), equal_item);
}

}  // namespace

Tree parse(int file, std::string_view text, Diagnostics& diagnostics, std::size_t& remaining_elements) {
  return Parser(file, text, diagnostics, remaining_elements).parse();
}
Tree parse(int file, std::string_view text, Diagnostics& diagnostics) {
  std::size_t remaining_elements = kMaxTreeElements;
  return parse(file, text, diagnostics, remaining_elements);
}

bool is_equivalent(const Tree& one, const Tree& other) { return equal_items(one.items, other.items); }

}  // namespace puffinvane::language
