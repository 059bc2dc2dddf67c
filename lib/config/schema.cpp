// JSON schema validation with valijson, which no other source file includes.
#include "galenarudder/config/schema.hpp"

#include "galenarudder/config/check.hpp"
#include "galenarudder/support/json.hpp"

#include <nlohmann/json.hpp>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <utility>

namespace galenarudder::config {

using support::error;
using support::error_kind;

namespace {

/// Returns the names and positions in valijson's context ("<root>", "[keys]",
/// "[0]").
std::vector<std::string> path_of(const std::vector<std::string>& context)
{
    std::vector<std::string> path;
    for (const std::string& component : context) {
        if (component.size() >= 2 && component.front() == '[')
            path.push_back(component.substr(1, component.size() - 2));
    }
    return path;
}

/// Returns the pointer that is shown for a context. Its names are not escaped,
/// so that it cannot be used to access values.
std::string to_json_pointer(const std::vector<std::string>& context)
{
    std::string pointer;
    for (const std::string& name : path_of(context))
        pointer += "/" + name;
    return pointer.empty() ? "/" : pointer;
}

/// Returns the pointer that accesses the value of a context.
nlohmann::json::json_pointer
access_pointer(const std::vector<std::string>& context)
{
    nlohmann::json::json_pointer pointer;
    for (const std::string& name : path_of(context))
        pointer /= name;
    return pointer;
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
                           const std::vector<std::string>& context)
{
    // A key that was written in place of its digest must not be printed.
    if (to_json_pointer(context).starts_with("/organisations"))
        return "";
    constexpr std::size_t max_printed_bytes = 60;
    try {
        const std::string text = document.at(access_pointer(context)).dump();
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
                     describe_value(document, deepest.context),
                 "correct the value at this path; unknown fields are "
                 "rejected"};
}

} // namespace

namespace {

/// Returns the name of the unknown field that \p description reports, or an
/// empty text if it reports something else.
std::string unknown_field_in(const std::string& description)
{
    constexpr std::string_view start = "Object contains a property";
    const std::size_t quote = description.find(": '");
    if (!description.starts_with(start) || quote == std::string::npos)
        return "";
    const std::size_t begin = quote + 3;
    return description.substr(begin, description.rfind('\'') - begin);
}

/// Returns whether the error only states that another one was found below its
/// value or in each of its alternatives.
bool is_consequence(const std::string& description)
{
    return description.starts_with("Failed to validate");
}

bool is_type_mismatch(const std::string& message)
{
    return message.starts_with("Failed to match against any enum") ||
           message.starts_with("Value type not permitted");
}

/// Collects all violations. valijson reports one unknown field of each object,
/// so these are removed and the rest is validated again.
class violation_collector
{
public:
    violation_collector(nlohmann::json document, const char* schema)
        : document_(std::move(document)), schema_(compiled_schema(schema))
    {
    }

    std::vector<schema_violation> run() &&
    {
        while (remove_unknown_fields()) {
        }
        collect_others();
        remove_rejected_alternatives();
        std::vector<schema_violation> violations;
        for (const auto& [pointer, messages] : found_) {
            for (const std::string& message : messages)
                violations.push_back({pointer, message});
        }
        return violations;
    }

private:
    using validation_errors = std::vector<valijson::ValidationResults::Error>;

    /// Returns the pointer to the value of an error, empty for the document.
    static std::string
    pointer_of(const valijson::ValidationResults::Error& failure)
    {
        const std::string pointer = to_json_pointer(failure.context);
        return pointer == "/" ? "" : pointer;
    }

    validation_errors validate() const
    {
        valijson::ValidationResults results;
        valijson::Validator validator;
        const valijson::adapters::NlohmannJsonAdapter adapted(document_);
        validation_errors errors;
        if (validator.validate(schema_, adapted, &results))
            return errors;
        valijson::ValidationResults::Error failure;
        while (results.popError(failure))
            errors.push_back(failure);
        return errors;
    }

    bool remove_unknown_fields()
    {
        bool removed = false;
        for (const auto& failure : validate()) {
            const std::string name = unknown_field_in(failure.description);
            const auto pointer = access_pointer(failure.context);
            if (name.empty() || !document_.contains(pointer))
                continue;
            removed = document_.at(pointer).erase(name) > 0 || removed;
            found_[pointer_of(failure) + "/" + name].insert(
                "the field is not known");
        }
        return removed;
    }

    void collect_others()
    {
        const validation_errors errors = validate();
        for (const auto& failure : errors) {
            if (!is_consequence(failure.description))
                found_[pointer_of(failure)].insert(
                    failure.description +
                    describe_value(document_, failure.context));
        }
        // Covers errors of which valijson reports only the consequence.
        if (found_.empty() && !errors.empty())
            found_[pointer_of(errors.front())].insert(
                errors.front().description);
    }

    /// Of the alternatives for a value, those of another type are not errors if
    /// there are errors inside the value or properties that it lacks.
    void remove_rejected_alternatives()
    {
        for (auto& [pointer, messages] : found_) {
            const auto inner = found_.upper_bound(pointer + "/");
            const bool has_inner = inner != found_.end() &&
                                   inner->first.starts_with(pointer + "/");
            const bool lacks_property =
                std::any_of(messages.begin(), messages.end(),
                            [](const std::string& message) {
                                return message.starts_with("Missing required");
                            });
            if (has_inner || lacks_property)
                std::erase_if(messages, is_type_mismatch);
        }
    }

    nlohmann::json document_;
    const valijson::Schema& schema_;
    /// Messages of each pointer. Alternatives may repeat a message.
    std::map<std::string, std::set<std::string>> found_;
};

} // namespace

std::vector<schema_violation>
find_schema_violations(const nlohmann::json& document, const char* schema)
{
    return violation_collector(document, schema).run();
}

support::result<nlohmann::json> parse_and_check(std::string_view text,
                                                std::string_view file,
                                                const char* schema)
{
    BOOST_OUTCOME_TRY(
        nlohmann::json document,
        support::parse_json(text, file, error_kind::invalid_document));
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
