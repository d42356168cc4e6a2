#include "src/discovery/list_splitter.h"

#include <gtest/gtest.h>

#include <string>

namespace puffinvane {
namespace {

TEST(ListSplitter, BuffersALineUntilItIsComplete) {
  ListSplitter splitter;

  splitter.append("one\ntw");
  std::optional<std::string> first = splitter.take_line();
  std::optional<std::string> incomplete = splitter.take_line();
  splitter.append("o\n\n");
  std::optional<std::string> second = splitter.take_line();
  std::optional<std::string> blank = splitter.take_line();

  EXPECT_EQ(first, "one");
  EXPECT_EQ(incomplete, std::nullopt);
  EXPECT_EQ(second, "two");
  EXPECT_EQ(blank, "");
  EXPECT_EQ(splitter.take_line(), std::nullopt);
}

TEST(ListSplitter, EndsAnIndentedListWhereItsBracesClose) {
  const std::string list = "{\n  \"a\": [\n    {\"b\": \"}]\\\"{\"}\n  ]\n}";
  ListSplitter splitter;

  splitter.append(list + "\nnext\n");

  EXPECT_EQ(splitter.take_line(), list);
  EXPECT_EQ(splitter.take_line(), "next");
}

TEST(ListSplitter, ReportsAListThatIsCutOffBetweenItsLines) {
  ListSplitter splitter;

  splitter.append("{\n  \"a\": [\n");

  EXPECT_EQ(splitter.take_line(), std::nullopt);
  EXPECT_TRUE(splitter.has_partial_list());
  EXPECT_TRUE(splitter.ends_inside_list());
}

TEST(ListSplitter, HasNoPartialListAfterItsEnd) {
  ListSplitter splitter;
  splitter.append("{\n");
  splitter.take_line();

  splitter.append("}\n");
  splitter.take_line();

  EXPECT_FALSE(splitter.has_partial_list());
  EXPECT_FALSE(splitter.ends_inside_list());
}

TEST(ListSplitter, EndsALineAtALineFeedWithinQuotes) {
  ListSplitter splitter;

  splitter.append("{\"no end\n}\n");

  EXPECT_EQ(splitter.take_line(), "{\"no end");
  EXPECT_EQ(splitter.take_line(), "}");
}

TEST(ListSplitter, GivesWhatFollowsTheLastLineFeedAsTheRest) {
  ListSplitter splitter;
  splitter.append("a\n{\nb}");
  splitter.take_line();
  splitter.take_line();

  EXPECT_EQ(splitter.take_rest(), "{\nb}");
  EXPECT_FALSE(splitter.has_partial_list());
  EXPECT_EQ(splitter.take_rest(), "");
}

TEST(ListSplitter, ReportsALineOverTheSizeLimit) {
  ListSplitter splitter;

  splitter.append(std::string(ListSplitter::kMaxListBytes, ' '));
  bool exceeds_at_limit = splitter.exceeds_size_limit();
  splitter.append(" ");

  EXPECT_FALSE(exceeds_at_limit);
  EXPECT_TRUE(splitter.exceeds_size_limit());
}

}  // namespace
}  // namespace puffinvane
