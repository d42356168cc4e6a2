#include "src/config/language/tree.h"

namespace puffinvane::language {

namespace {

constexpr std::size_t kMaxLineWidth = 100;

class Printer {
 public:
  std::string print(const Tree& tree) {
    print_items(tree.items, 0);
    print_comments(tree.comments_at_end, 0);
    return std::move(out_);
  }

 private:
  void print_line(int depth, std::string_view text) {
    out_.append(std::size_t(depth) * 2, ' ').append(text).append("\n");
  }
  void print_comments(const std::vector<Comment>& all, int depth) {
    for (const Comment& comment : all) {
      if (comment.blank_line_before && !out_.empty()) out_ += '\n';
      print_line(depth, comment.text);
    }
  }
  void print_items(const std::vector<Item>& all, int depth) {
    for (const Item& item : all) {
      if (item.blank_line_before) out_ += '\n';
      print_comments(item.comments_before, depth);
      print_head(item, depth);
      if (item.has_block) {
        bool empty = item.block.empty() && item.comments_at_end.empty() && item.comment_after_open.empty();
        out_ += empty ? " {}" : " {";
        if (!item.comment_after_open.empty()) out_.append("  ").append(item.comment_after_open);
        if (!empty) {
          out_ += '\n';
          print_items(item.block, depth + 1);
          print_comments(item.comments_at_end, depth + 1);
          out_.append(std::size_t(depth) * 2, ' ').append("}");
        }
      }
      if (!item.trailing_comment.empty()) out_.append("  ").append(item.trailing_comment);
      out_ += '\n';
    }
  }
  // Prints the word and its arguments, with line breaks after commas where the line would be too long.
  void print_head(const Item& item, int depth) {
    std::size_t indent = std::size_t(depth) * 2;
    std::size_t width = indent + item.word.size();
    out_.append(indent, ' ').append(item.word);
    for (std::size_t i = 0; i < item.arguments.size(); ++i) {
      const Argument& argument = item.arguments[i];
      std::size_t until = i + 1;  // the arguments up to the next comma stay on one line
      std::size_t size = argument.raw.size();
      while (until < item.arguments.size() && !item.arguments[until].after_comma)
        size += 1 + item.arguments[until++].raw.size();
      if (argument.after_comma) {
        out_ += ',';
        ++width;
      }
      if (argument.after_comma && width + 1 + size > kMaxLineWidth) {
        out_ += '\n';
        out_.append(indent + 4, ' ');
        width = indent + 4;
      } else {
        out_ += ' ';
        ++width;
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
