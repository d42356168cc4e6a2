#include <algorithm>
#include <optional>

#include "src/config/language/lexer.h"
#include "src/config/language/tree.h"

namespace puffinvane::language {

namespace {

constexpr int kDeepest = 16;  // blocks within blocks; the language itself needs three

using Kind = Token::Kind;

class Parser {
 public:
  Parser(int file, std::string_view text, Diagnostics& diagnostics, std::size_t& room)
      : lexer_(file, text, diagnostics), diagnostics_(diagnostics), room_(room), token_(lexer_.next()) {}

  Tree parse() {
    Tree tree;
    items(tree.items, tree.at_end, nullptr, 0);
    return tree;
  }

 private:
  void advance() {
    token_ = lexer_.next();
    if (!(is(Kind::Word) || is(Kind::Quoted) || is(Kind::Comment))) return;
    if (room_ > 0 && --room_ == 0)
      diagnostics_.add(token_.location, "the site is too large: nothing is read from here on");
    hopeless_ = hopeless_ || room_ == 0;
    if (room_ == 0) token_ = {Kind::Finish, token_.location, {}, false};
  }
  bool is(Kind kind) const { return token_.kind == kind; }

  // Up to its `}`, which is passed, or the end of the file.
  void items(std::vector<Item>& into, std::vector<Comment>& last, const Token* open, int depth) {
    std::vector<Comment> comments;
    int lines = 2;  // new lines since something stood there
    while (true) {
      switch (token_.kind) {
        case Kind::End:
          lines += token_.new_line;
          advance();
          break;
        case Kind::Comment:
          comments.push_back({token_.raw, lines > 1 && !(into.empty() && comments.empty())});
          lines = 0;
          advance();
          break;
        case Kind::Finish:
          if (open && !hopeless_) diagnostics_.add(open->location, "this `{` is never closed");
          last = std::move(comments);
          return;
        case Kind::Close:
          if (open) {
            last = std::move(comments);
            advance();
            return;
          }
          diagnostics_.add(token_.location, "a `}` too many");
          advance();
          break;
        case Kind::Word: {
          Item item;
          item.blank_before = lines > 1 && comments.empty() && !into.empty();
          item.before = std::move(comments);
          comments.clear();
          read(item, depth);
          into.push_back(std::move(item));
          lines = 0;
          break;
        }
        default: stray(into); lines = 0;
      }
    }
  }

  // What can't begin an item is said once, and passed up to the end of its line.
  void stray(std::vector<Item>& into) {
    if (is(Kind::Open)) {
      std::string fix =
          into.empty() ? "" : "put the `{` on the line of `" + std::string(into.back().word) + "`";
      if (!into.empty()) into.back().is_malformed = true;
      diagnostics_.add(token_.location, "a block that belongs to no word", fix);
    } else {
      diagnostics_.add(token_.location, is(Kind::Comma)
                                            ? "a comma with nothing before it"
                                            : "a text where a word has to stand, as `pool` or `route`");
    }
    pass_line();
  }
  void pass_line() {
    while (!is(Kind::End) && !is(Kind::Close) && !is(Kind::Comment) && !is(Kind::Finish))
      is(Kind::Open) ? skip() : advance();
  }

  void read(Item& item, int depth) {
    std::size_t said = diagnostics_.count();
    item.word = token_.raw, item.location = token_.location;
    advance();
    std::optional<Token> comma;
    while (true) {
      if (is(Kind::Word) || is(Kind::Quoted)) {
        if (token_.raw == "=" || token_.raw == ":") {
          diagnostics_.add(token_.location, "no `" + std::string(token_.raw) + "` is needed here",
                           "write `" + std::string(item.word) + "` and its value, with a blank between");
          advance();
          continue;
        }
        item.arguments.push_back({token_.raw, token_.location, is(Kind::Quoted), comma.has_value()});
        comma.reset();
        advance();
      } else if (is(Kind::Comma)) {
        if (comma || item.arguments.empty())
          diagnostics_.add(token_.location, "a comma with nothing before it");
        comma = token_;
        advance();
        // A list goes on after its comma, whatever lines and comments lie between.
        while ((is(Kind::End) && token_.new_line) || is(Kind::Comment)) {
          if (is(Kind::Comment)) item.before.push_back({token_.raw, false});
          advance();
        }
      } else {
        break;
      }
    }
    if (comma) diagnostics_.add(comma->location, "nothing comes after this comma");
    if (is(Kind::Open)) block(item, depth);
    if (is(Kind::Comment)) item.after = token_.raw, advance();
    if (is(Kind::Word) || is(Kind::Quoted) || is(Kind::Open) || is(Kind::Comma)) {
      diagnostics_.add(token_.location, "a new line or `;` has to come before this");
      if (!is(Kind::Word)) pass_line();
    }
    item.is_malformed = diagnostics_.count() != said || (depth > 0 && is(Kind::Finish));
  }

  void block(Item& item, int depth) {
    Token open = token_;
    item.has_block = true;
    if (depth + 1 > kDeepest) {
      diagnostics_.add(open.location, "blocks within blocks, deeper than " + std::to_string(kDeepest));
      hopeless_ = true;
      return skip();
    }
    advance();
    if (is(Kind::Comment)) item.after_open = token_.raw, advance();
    items(item.block, item.at_close, &open, depth + 1);
  }

  void skip() {  // a block and all that is in it, without going deeper
    int open = 0;
    do {
      open += is(Kind::Open), open -= is(Kind::Close);
      advance();
    } while (open > 0 && !is(Kind::Finish));
  }

  bool hopeless_ = false;  // the rest was not read: nothing is said of where it ends
  Lexer lexer_;
  Diagnostics& diagnostics_;
  std::size_t& room_;
  Token token_;
};

bool same(const std::vector<Item>& one, const std::vector<Item>& other) {
  auto alike = [](const Item& a, const Item& b) {
    auto argument = [](const Argument& x, const Argument& y) {
      return x.raw == y.raw && x.after_comma == y.after_comma;
    };
    return a.word == b.word && a.has_block == b.has_block &&
           std::equal(a.arguments.begin(), a.arguments.end(), b.arguments.begin(), b.arguments.end(),
                      argument) &&
           same(a.block, b.block);
  };
  return std::equal(one.begin(), one.end(), other.begin(), other.end(), alike);
}

}  // namespace

Tree parse(int file, std::string_view text, Diagnostics& diagnostics, std::size_t& room) {
  return Parser(file, text, diagnostics, room).parse();
}
Tree parse(int file, std::string_view text, Diagnostics& diagnostics) {
  std::size_t room = kMaxTreeElements;
  return parse(file, text, diagnostics, room);
}

bool is_equivalent(const Tree& one, const Tree& other) { return same(one.items, other.items); }

}  // namespace puffinvane::language
