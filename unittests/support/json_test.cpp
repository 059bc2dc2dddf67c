// Places and kinds of problems in JSON texts.
#include "galenarudder/support/json.hpp"

#include <catch2/catch.hpp>

using namespace galenarudder;

TEST_CASE("problems in JSON name line and column")
{
    struct row
    {
        std::string text;
        const char* problem;
    };
    const std::string brackets(support::max_json_nesting, '[');
    const row rows[] = {
        {"{\"a\": 1,\n \"b\": 1e999}",
         "line 2, column 7: the number 1e999 is out of range"},
        {"[-1e999]", "line 1, column 2: the number -1e999 is out of range"},
        {"[1,\n2", "line 2, column 2: is not JSON"},
        {"", "line 1, column 1: is not JSON"},
        {"[\"\\\"[\",\n" + brackets + "1",
         "line 2, column 64: is nested more than 64 levels deep"},
        {"[1] 2", "line 1, column 5: is not JSON"},
    };
    for (const row& test_case : rows) {
        const auto parsed = support::parse_json(test_case.text);
        REQUIRE_FALSE(parsed);
        CHECK(describe(parsed.error()) == test_case.problem);
    }
}

TEST_CASE("nesting up to the limit is read")
{
    const std::string text = std::string(support::max_json_nesting, '[') +
                             std::string(support::max_json_nesting, ']');
    CHECK(support::parse_json(text));
    const auto value = support::parse_json("{\"a\": [1, \"\\u00e9\"]}");
    REQUIRE(value);
    CHECK(value.value()["a"][0] == 1);
}
