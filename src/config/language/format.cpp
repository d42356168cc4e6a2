#include "src/config/language/tree.h"

namespace puffinvane::language {

namespace {

constexpr std::size_t kWidth = 100;

class Printer {
 public:
  std::string print(const Tree& tree) {
    items(tree.items, 0);
    comments(tree.at_end, 0);
    return std::move(out_);
  }

 private:
  void line(int depth, std::string_view text) {
    out_.append(std::size_t(depth) * 2, ' ').append(text).append("\n");
  }
  void comments(const std::vector<Comment>& all, int depth) {
    for (const Comment& comment : all) {
      if (comment.blank_before && !out_.empty()) out_ += '\n';
      line(depth, comment.text);
    }
  }
  void items(const std::vector<Item>& all, int depth) {
    for (const Item& item : all) {
      if (item.blank_before) out_ += '\n';
      comments(item.before, depth);
      head(item, depth);
      if (item.has_block) {
        bool empty = item.block.empty() && item.at_close.empty() && item.after_open.empty();
        out_ += empty ? " {}" : " {";
        if (!item.after_open.empty()) out_.append("  ").append(item.after_open);
        if (!empty) {
          out_ += '\n';
          items(item.block, depth + 1);
          comments(item.at_close, depth + 1);
          out_.append(std::size_t(depth) * 2, ' ').append("}");
        }
      }
      if (!item.after.empty()) out_.append("  ").append(item.after);
      out_ += '\n';
    }
  }
  // On one line, or is_malformed after commas where that is too long.
  void head(const Item& item, int depth) {
    std::size_t indent = std::size_t(depth) * 2;
    std::size_t width = indent + item.word.size();
    out_.append(indent, ' ').append(item.word);
    for (std::size_t i = 0; i < item.arguments.size(); ++i) {
      const Argument& argument = item.arguments[i];
      std::size_t until = i + 1;  // what stands between two commas stays together
      std::size_t size = argument.raw.size();
      while (until < item.arguments.size() && !item.arguments[until].after_comma)
        size += 1 + item.arguments[until++].raw.size();
      if (argument.after_comma) out_ += ',', ++width;
      if (argument.after_comma && width + 1 + size > kWidth) {
        out_ += '\n';
        out_.append(indent + 4, ' ');
        width = indent + 4;
      } else {
        out_ += ' ', ++width;
      }
      out_ += argument.raw;
      width += argument.raw.size();
    }
  }

  std::string out_;
};

}  // namespace

std::string format(const Tree& tree) { return Printer().print(tree); }

}  // namespace puffinvane::language
