/// \file
/// The log: one JSON object a line on standard output, for each decision that
/// touches a call or changes what the process believes.
///
/// The log is bounded in lines and bytes a second. Past half of the budget
/// routine lines are left out, past nine tenths failures too; a line counts
/// what was left out. Writing never waits for the reader.
#pragma once

#include "galenarudder/support/error.hpp"

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace galenarudder::telemetry {

/// What a line tells; the later kinds are kept longer under load.
enum class log_kind
{
    /// A step of a call that went as it should.
    routine,
    /// A call was refused, tried again or lost.
    failure,
    /// The process changed what it believes, or what it depends on changed.
    belief
};

/// A named value of a line. The text is read before log_event returns.
struct log_field
{
    log_field(std::string_view named, std::string_view text)
        : name(named), value(text)
    {
    }
    log_field(std::string_view named, const char* text)
        : name(named), value(std::string_view(text))
    {
    }
    log_field(std::string_view named, const std::string& text)
        : name(named), value(std::string_view(text))
    {
    }
    log_field(std::string_view named, std::integral auto number) : name(named)
    {
        using type = decltype(number);
        if constexpr (std::same_as<type, bool>)
            value = number;
        else if constexpr (std::signed_integral<type>)
            value = static_cast<std::int64_t>(number);
        else
            value = static_cast<std::uint64_t>(number);
    }
    log_field(std::string_view named, double number)
        : name(named), value(number)
    {
    }

    std::string_view name;
    std::variant<std::string_view, double, std::int64_t, std::uint64_t, bool>
        value;
};

/// How much may be written in a second.
struct log_limits
{
    /// Some ten lines for each of 30 calls a second.
    double lines_per_s = 300;
    double bytes_per_s = 64 * 1024;
};

/// Counts since the start, for metrics.
struct log_counts
{
    std::uint64_t written = 0;
    std::uint64_t left_out = 0;
};

/// Begins the log of the process; \p member is part of each line. Without it
/// nothing is written.
void open_log(std::string member, const log_limits& limits = {});

/// Safe from any thread.
void log_event(log_kind kind,
               std::string_view event,
               std::initializer_list<log_field> fields);
/// The same for an error: its kind, message and remedy are fields.
void log_error(std::string_view event, const support::error& failure);

/// Writes what the reader of standard output takes at once; call it often.
void flush_log();

log_counts counts_of_log();

/// Writes one line as it stands in the log; for tests.
std::string format_line(std::string_view time,
                        std::string_view member,
                        std::string_view event,
                        std::initializer_list<log_field> fields);

} // namespace galenarudder::telemetry
