// JSON schema validation with valijson, which no other source file includes.
#include "galenarudder/config/schema.hpp"

#include "galenarudder/config/check.hpp"
#include "galenarudder/config/json_text.hpp"

#include <nlohmann/json.hpp>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

#include <algorithm>
#include <map>
#include <memory>

namespace galenarudder::config {

using support::error;
using support::error_kind;

namespace {

std::string line_at_byte(std::string_view text, std::size_t byte)
{
    const std::size_t end = std::min(byte, text.size());
    const auto newlines = std::count(text.begin(), text.begin() + end, '\n');
    return std::to_string(newlines + 1);
}

/// Converts valijson's context ("<root>", "[keys]", "[0]") into a JSON pointer.
std::string to_json_pointer(const std::vector<std::string>& context)
{
    std::string pointer;
    for (const std::string& component : context) {
        if (component.size() < 2 || component.front() != '[')
            continue;
        pointer += "/" + component.substr(1, component.size() - 2);
    }
    return pointer.empty() ? "/" : pointer;
}

/// Returns the error at the deepest path, which is the cause. The errors at the
/// enclosing values only follow from it.
valijson::ValidationResults::Error
deepest_error(valijson::ValidationResults& results)
{
    valijson::ValidationResults::Error deepest;
    valijson::ValidationResults::Error candidate;
    while (results.popError(candidate)) {
        if (candidate.context.size() >= deepest.context.size())
            deepest = candidate;
    }
    return deepest;
}

/// Returns "; found VALUE", or an empty string if the value is missing or too
/// long to print.
std::string describe_value(const nlohmann::json& document,
                           const std::string& pointer)
{
    // A key that was written in place of its digest must not be printed.
    if (pointer.starts_with("/organisations"))
        return "";
    constexpr std::size_t max_printed_bytes = 60;
    try {
        const nlohmann::json::json_pointer value_pointer(
            pointer == "/" ? "" : pointer);
        const std::string text = document.at(value_pointer).dump();
        return text.size() <= max_printed_bytes ? "; found " + text : "";
    } catch (const nlohmann::json::exception&) {
        return "";
    }
}

/// Returns the compiled form of \p schema, a text in static storage. Each
/// thread compiles a schema once.
const valijson::Schema& compiled_schema(const char* schema)
{
    thread_local std::map<const char*, std::unique_ptr<valijson::Schema>>
        schemas;
    std::unique_ptr<valijson::Schema>& compiled = schemas[schema];
    if (compiled)
        return *compiled;
    const nlohmann::json schema_document = nlohmann::json::parse(schema);
    auto parsed = std::make_unique<valijson::Schema>();
    valijson::SchemaParser().populateSchema(
        valijson::adapters::NlohmannJsonAdapter(schema_document), *parsed);
    compiled = std::move(parsed);
    return *compiled;
}

/// Validates \p document. The error names the line only if \p text, the source
/// of the document, is not empty.
support::result<void> validate_document(const nlohmann::json& document,
                                        std::string_view text,
                                        std::string_view file,
                                        const char* schema)
{
    const valijson::Schema& compiled = compiled_schema(schema);
    valijson::Validator validator;
    const valijson::adapters::NlohmannJsonAdapter adapted_document(document);
    // Collecting results takes most of the time, and valid documents have none.
    if (validator.validate(compiled, adapted_document, nullptr))
        return boost::outcome_v2::success();
    valijson::ValidationResults results;
    validator.validate(compiled, adapted_document, &results);
    const auto deepest = deepest_error(results);
    const std::string pointer = to_json_pointer(deepest.context);
    std::string location(file);
    if (!text.empty()) {
        const std::size_t line = line_of_pointer(text, pointer);
        location += ": line " + std::to_string(std::max<std::size_t>(line, 1));
    }
    return error{error_kind::invalid_document,
                 location + ": " + pointer + ": " + deepest.description +
                     describe_value(document, pointer),
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
        document = parse_json(text);
    } catch (const nlohmann::json::parse_error& failure) {
        return error{error_kind::invalid_document,
                     std::string(file) + ": line " +
                         line_at_byte(text, failure.byte) + ": is not JSON",
                     "correct the syntax at this line"};
    }
    auto validation = validate_document(document, text, file, schema);
    if (!validation)
        return std::move(validation).error();
    return document;
}

support::result<void> check_schema(const nlohmann::json& document,
                                   std::string_view file,
                                   const char* schema)
{
    return validate_document(document, "", file, schema);
}

} // namespace galenarudder::config
