#include "src/http/header_fields.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace puffinvane {
namespace {

TEST(HeaderFields, KeepsNamesAndValuesInTheirOrder) {
  HeaderFields fields;
  fields.add("Host", "origin.svc:80");
  fields.add("X-Empty", "");
  fields.add("host", "other");

  std::vector<std::string> lines;
  for (const HeaderField& field : fields) {
    lines.push_back(std::string(field.name) + "=" + std::string(field.value));
  }

  EXPECT_EQ(lines, (std::vector<std::string>{"Host=origin.svc:80", "X-Empty=", "host=other"}));
}

TEST(HeaderFields, HasNoFieldAtFirst) { EXPECT_EQ(HeaderFields().begin(), HeaderFields().end()); }

// Guards against: a head of 16 KiB takes 260 KiB of memory, and hundreds of them more than a process may
// have.
TEST(HeaderFields, NeedsLittleMoreMemoryThanItsBytesForManyShortFields) {
  constexpr int kFields = 4000;
  constexpr std::size_t kBytesOnTheWire = 4 * kFields;  // "a:" and a line break
  HeaderFields fields;

  for (int i = 0; i < kFields; ++i) fields.add("a", "");

  EXPECT_LT(fields.capacity_bytes(), 2 * kBytesOnTheWire);
}

}  // namespace
}  // namespace puffinvane
