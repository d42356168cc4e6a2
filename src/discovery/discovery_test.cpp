#include "src/discovery/discovery.h"

#include <gtest/gtest.h>

#include <string>

namespace puffinvane {
namespace {

EndpointList parse_list(const std::string& text) { return parse_endpoint_list(text).value(); }

ListError parse_error_of(const std::string& text) { return parse_endpoint_list(text).error(); }

// The JSON text of a list with one entry that has these fields.
std::string list_with_entry(const std::string& fields) {
  return R"({"index":43,"snapshot":false,"endpoints":[{)" + fields + "}]}";
}

TEST(EndpointListParser, ReadsIndexAndScope) {
  EndpointList changes = parse_list(R"({"index":43,"snapshot":false,"endpoints":[]})");
  EndpointList snapshot = parse_list(R"({"index":44,"snapshot":true,"endpoints":[]})");
  EndpointList unstated = parse_list(R"({"index":45,"endpoints":[]})");

  EXPECT_EQ(changes.index, 43);
  EXPECT_FALSE(changes.is_snapshot);
  EXPECT_TRUE(snapshot.is_snapshot);
  EXPECT_FALSE(unstated.is_snapshot);
}

TEST(EndpointListParser, ReadsAllFieldsOfAnEntry) {
  EndpointList list = parse_list(list_with_entry(
      R"("name":"s-1","address":"10.1.0.18:5000","zone":"a","group":3,"status":"leaving","weight":1.5,)"
      R"("since_ms":5000)"));

  ASSERT_EQ(list.entries.size(), 1u);
  EXPECT_EQ(list.entries[0].endpoint, "s-1");
  EXPECT_EQ(list.entries[0].zone, "a");
  EXPECT_EQ(list.entries[0].cell, 3);
  EXPECT_EQ(list.entries[0].state, ListedState::Draining);
  EXPECT_EQ(list.entries[0].weight, 1.5);
  EXPECT_EQ(list.addresses[0], "10.1.0.18:5000");
  EXPECT_EQ(list.stated_start_ms[0], 5000);
}

TEST(EndpointListParser, ReplacesValuesThatAreOutOfRange) {
  EndpointList list = parse_list(
      list_with_entry(R"("name":"s-1","address":"a:1","status":"active","weight":0,"since_ms":-1)"));

  ASSERT_EQ(list.entries.size(), 1u);
  EXPECT_EQ(list.entries[0].state, ListedState::Ready);
  EXPECT_EQ(list.entries[0].weight, 1);
  EXPECT_EQ(list.stated_start_ms[0], 0);
}

TEST(EndpointListParser, ReadsARemovedEntryWithoutAnAddress) {
  EndpointList list = parse_list(list_with_entry(R"("name":"s-1","status":"left","new":{"field":1})"));

  ASSERT_EQ(list.entries.size(), 1u);
  EXPECT_EQ(list.entries[0].state, ListedState::Removed);
  EXPECT_EQ(list.addresses[0], "");
}

TEST(EndpointListParser, ReportsTextThatIsNotJson) {
  for (const char* text : {"", "{", "{]"}) {
    SCOPED_TRACE(text);
    EXPECT_EQ(parse_error_of(text).fault, ListFault::InvalidJson);
  }
}

TEST(EndpointListParser, ReportsAMissingFieldOfAList) {
  ListError no_index = parse_error_of("{}");
  ListError no_endpoints = parse_error_of(R"({"index":1})");

  EXPECT_EQ(no_index.fault, ListFault::MissingListField);
  EXPECT_EQ(no_index.detail, "index");
  EXPECT_EQ(no_endpoints.fault, ListFault::MissingListField);
  EXPECT_EQ(no_endpoints.detail, "endpoints");
}

TEST(EndpointListParser, ReportsAMissingFieldOfAnEntry) {
  ListError no_name = parse_error_of(list_with_entry(R"("status":"active")"));
  ListError no_status = parse_error_of(list_with_entry(R"("name":"a")"));
  ListError no_address = parse_error_of(list_with_entry(R"("name":"a","status":"active")"));

  EXPECT_EQ(no_name.fault, ListFault::MissingEntryField);
  EXPECT_EQ(no_name.detail, "name");
  EXPECT_EQ(no_status.detail, "status");
  EXPECT_EQ(no_address.detail, "address");
}

TEST(EndpointListParser, ReportsAnUnknownStatus) {
  ListError error = parse_error_of(list_with_entry(R"("name":"a","status":"asleep","address":"b")"));

  EXPECT_EQ(error.fault, ListFault::UnknownStatus);
  EXPECT_EQ(error.detail, "asleep");
}

TEST(EndpointListParser, ThrowsTheErrorWhereSettingsAreRead) {
  simdjson::dom::parser parser;
  simdjson::dom::element list = parser.parse(std::string(R"({"index":1})"));

  try {
    parse_endpoint_list_or_throw(list);
    FAIL() << "no exception";
  } catch (const Malformed& error) {
    EXPECT_STREQ(error.what(), "the list lacks the field \"endpoints\"");
  }
}

}  // namespace
}  // namespace puffinvane
