// Schema checks by valijson; the only source that includes it.
#include "galenarudder/config/schema.hpp"

#include "galenarudder/config/check.hpp"

#include <nlohmann/json.hpp>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

#include <algorithm>

namespace galenarudder::config {

using support::error;
using support::error_kind;

namespace {

std::string line_of(std::string_view text, std::size_t byte)
{
    const std::size_t end = std::min(byte, text.size());
    const auto newlines = std::count(text.begin(), text.begin() + end, '\n');
    return std::to_string(newlines + 1);
}

/// Joins valijson's context ("<root>", "[keys]", "[0]") to a JSON pointer.
std::string pointer_of(const std::vector<std::string>& context)
{
    std::string pointer;
    for (const std::string& part : context) {
        if (part.size() < 2 || part.front() != '[')
            continue;
        pointer += "/" + part.substr(1, part.size() - 2);
    }
    return pointer.empty() ? "/" : pointer;
}

/// The deepest finding names the cause; those above it only follow from it.
valijson::ValidationResults::Error
deepest_finding(valijson::ValidationResults& results)
{
    valijson::ValidationResults::Error deepest;
    valijson::ValidationResults::Error finding;
    while (results.popError(finding)) {
        if (finding.context.size() >= deepest.context.size())
            deepest = finding;
    }
    return deepest;
}

/// Returns ", found VALUE" for a value that is short enough to print.
std::string found_text(const nlohmann::json& document,
                       const std::string& pointer)
{
    constexpr std::size_t max_printed_bytes = 60;
    try {
        const nlohmann::json::json_pointer path(pointer == "/" ? "" : pointer);
        const std::string text = document.at(path).dump();
        return text.size() <= max_printed_bytes ? "; found " + text : "";
    } catch (const nlohmann::json::exception&) {
        return "";
    }
}

/// \p text is empty when the source is not at hand; no line is named then.
support::result<void> check(const nlohmann::json& document,
                            std::string_view text,
                            std::string_view file,
                            const char* schema)
{
    const nlohmann::json schema_document = nlohmann::json::parse(schema);
    valijson::Schema rules;
    valijson::SchemaParser parser;
    parser.populateSchema(
        valijson::adapters::NlohmannJsonAdapter(schema_document), rules);
    valijson::Validator validator;
    valijson::ValidationResults results;
    const valijson::adapters::NlohmannJsonAdapter adapted(document);
    if (validator.validate(rules, adapted, &results))
        return boost::outcome_v2::success();
    const auto deepest = deepest_finding(results);
    const std::string pointer = pointer_of(deepest.context);
    std::string where(file);
    if (!text.empty()) {
        const std::size_t line = line_of_pointer(text, pointer);
        where += ": line " + std::to_string(std::max<std::size_t>(line, 1));
    }
    return error{error_kind::invalid_document,
                 where + ": " + pointer + ": " + deepest.description +
                     found_text(document, pointer),
                 "correct the value at this path; unknown fields are "
                 "rejected"};
}

} // namespace

support::result<nlohmann::json> parse_and_check(std::string_view text,
                                                std::string_view file,
                                                const char* schema)
{
    nlohmann::json document;
    try {
        document = nlohmann::json::parse(text);
    } catch (const nlohmann::json::parse_error& failure) {
        return error{error_kind::invalid_document,
                     std::string(file) + ": line " +
                         line_of(text, failure.byte) + ": is not JSON",
                     "correct the syntax at this line"};
    }
    auto checked = check(document, text, file, schema);
    if (!checked)
        return std::move(checked).error();
    return document;
}

support::result<void> check_schema(const nlohmann::json& document,
                                   std::string_view file,
                                   const char* schema)
{
    return check(document, "", file, schema);
}

} // namespace galenarudder::config
