/// \file
/// The log: lines on standard output with one JSON object each, for decisions
/// about calls and for changes of the process's state.
///
/// The log is limited in lines and bytes per second. Once half of the budget is
/// used, routine lines are dropped; once nine tenths are used, failures too.
/// The event log.left_out states how many lines were dropped. Writing never
/// waits for the reader.
#pragma once

#include "galenarudder/support/error.hpp"

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace galenarudder::telemetry {

/// The kind of a line. Under load, routine lines are dropped first, then
/// failures.
enum class log_kind
{
    /// A step of a call succeeded.
    routine,
    /// A call was refused, retried or lost.
    failure,
    /// The state of the process or of something that it depends on changed.
    state_change
};

/// A named value of a line. A text need not outlive the call of log_event.
struct log_field
{
    log_field(std::string_view field_name, std::string_view text)
        : name(field_name), value(text)
    {
    }
    log_field(std::string_view field_name, const char* text)
        : name(field_name), value(std::string_view(text))
    {
    }
    log_field(std::string_view field_name, const std::string& text)
        : name(field_name), value(std::string_view(text))
    {
    }
    log_field(std::string_view field_name, std::integral auto number)
        : name(field_name)
    {
        using type = decltype(number);
        if constexpr (std::same_as<type, bool>)
            value = number;
        else if constexpr (std::signed_integral<type>)
            value = static_cast<std::int64_t>(number);
        else
            value = static_cast<std::uint64_t>(number);
    }
    log_field(std::string_view field_name, double number)
        : name(field_name), value(number)
    {
    }

    std::string_view name;
    std::variant<std::string_view, double, std::int64_t, std::uint64_t, bool>
        value;
};

/// Limits of the log's rate.
struct log_limits
{
    /// About ten lines for each of 30 calls per second.
    double lines_per_s = 300;
    double bytes_per_s = 64 * 1024;
};

/// Numbers of lines since the start, for metrics.
struct log_counts
{
    std::uint64_t written = 0;
    std::uint64_t dropped = 0;
};

/// Opens the log of the process. \p member is part of each line. Events before
/// this call are dropped.
void open_log(std::string member, const log_limits& limits = {});

/// Writes one line. Safe from any thread.
void log_event(log_kind kind,
               std::string_view event,
               std::initializer_list<log_field> fields);
/// Writes a state_change line with the fields error (the name of the kind of
/// \p failure), message and remedy. Safe from any thread.
void log_error(std::string_view event, const support::error& failure);

/// Writes buffered lines as far as standard output accepts them without
/// blocking. Must be called regularly.
void flush_log();
/// Makes an abort of the process, as by a failed assertion, write the buffered
/// lines first.
void flush_log_on_abort();

/// Returns the numbers of lines written and dropped.
log_counts get_log_counts();

/// Returns a line as it is written to the log.
std::string format_line(std::string_view time,
                        std::string_view member,
                        std::string_view event,
                        std::initializer_list<log_field> fields);

} // namespace galenarudder::telemetry
