// Where a message in chunks may end.
#include "src/http/chunked_end.h"

#include <gtest/gtest.h>

namespace puffinvane {
namespace {

TEST(ChunkedEnd, IsPossibleAfterTheLastChunkAndAnEmptyLine) {
  EXPECT_TRUE(may_end_chunked_message("abc\r\n0\r\n\r\n"));
  EXPECT_TRUE(may_end_chunked_message("abc\n0\n\n"));
  EXPECT_TRUE(may_end_chunked_message("abc\r\n000;by=test\r\n\r\n"));
}

TEST(ChunkedEnd, IsPossibleAfterATrailer) {
  EXPECT_TRUE(may_end_chunked_message("abc\r\n0\r\nX-Trailer: last\r\n\r\n"));
}

TEST(ChunkedEnd, IsPossibleIfWhatComesBeforeTheTailIsUnknown) {
  EXPECT_TRUE(may_end_chunked_message("\r\n\r\n"));
  EXPECT_TRUE(may_end_chunked_message("\r\n"));
  EXPECT_TRUE(may_end_chunked_message("\n"));
  EXPECT_TRUE(may_end_chunked_message("0\r\n\r\n"));
}

TEST(ChunkedEnd, IsNotPossibleWithinAChunk) {
  EXPECT_FALSE(may_end_chunked_message(""));
  EXPECT_FALSE(may_end_chunked_message("abc"));
  EXPECT_FALSE(may_end_chunked_message("abc\r\n"));
  EXPECT_FALSE(may_end_chunked_message("abc\r\n0\r\n"));
}

// Lines of text are often sent as one chunk each.
TEST(ChunkedEnd, IsNotPossibleAfterAChunkOfWholeLinesOfText) {
  EXPECT_FALSE(may_end_chunked_message("14\r\nfirst line\nsecond line\n\r\n"));
}

}  // namespace
}  // namespace puffinvane
