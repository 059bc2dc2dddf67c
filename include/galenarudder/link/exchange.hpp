/// \file
/// One attempt of a call between an entry and a gate. The interface is the same
/// for the gate of this daemon and for a gate behind a link.
#pragma once

#include "galenarudder/link/body_pipe.hpp"
#include "galenarudder/support/call.hpp"
#include "galenarudder/support/refusal.hpp"

#include <functional>
#include <memory>
#include <variant>

namespace galenarudder::link {

/// The upstream began its response; the body follows in
/// exchange::response_body.
struct answered
{
    support::response_head head;
    support::load_report load;
};

/// The attempt ended without a response.
struct refused
{
    support::refusal refusal;
    support::load_report load;
};

/// The result of an attempt, as passed to exchange::deliver.
using exchange_event = std::variant<answered, refused>;

/// One request and its response, an exchange in the sense of RFC 9110. Holds
/// one attempt of a call and is shared by the entry that sends it and the gate
/// that answers it.
class exchange
{
public:
    exchange(support::call_head request_head,
             boost::asio::any_io_executor executor);

    support::call_head head;
    /// When the caller stops waiting; the time that remains then is taken from
    /// it wherever the call waits. Max if only \c head states the time.
    support::time_point deadline = support::time_point::max();
    /// When the call is late, in the same way; max if it has no such time.
    support::time_point in_time_until = support::time_point::max();
    /// Body from caller to upstream.
    body_pipe request_body;
    /// Body from upstream to caller.
    body_pipe response_body;
    /// Passes the result to the entry, which sets this function. Called at most
    /// once, from any thread.
    std::function<void(exchange_event)> deliver;
};

using exchange_ptr = std::shared_ptr<exchange>;

/// The interface through which an entry uses a gate. Safe from any thread.
class gate_interface
{
public:
    virtual ~gate_interface() = default;
    /// Sends \p attempt to the gate, which answers by exchange::deliver.
    virtual void submit(exchange_ptr attempt) = 0;
    /// Cancels \p attempt, whose response is no longer needed. The caller may
    /// abort the pipes afterwards.
    virtual void cancel(exchange_ptr attempt) = 0;
};

} // namespace galenarudder::link
