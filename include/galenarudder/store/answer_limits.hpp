/// \file
/// How long the answer to a call of a store may take.
#pragma once

#include "galenarudder/http/client.hpp"
#include "galenarudder/support/time.hpp"

namespace galenarudder::store {

/// A store that pauses for this long within an answer is given up.
inline constexpr support::milliseconds max_answer_pause{1000};
/// How much longer than its first byte an answer may take. The largest value,
/// 1 MiB, fills a link of 10 Mbit/s for 1.1 s, which it shares with calls.
inline constexpr support::milliseconds max_transfer_time{4000};

/// Returns the limits of a call whose answer begins within \p first_byte. A
/// long answer is read as long as it makes progress, since a second attempt
/// would begin with its first byte again.
constexpr http::exchange_limits answer_limits(support::duration first_byte)
{
    return {first_byte, max_answer_pause, first_byte + max_transfer_time};
}

} // namespace galenarudder::store
