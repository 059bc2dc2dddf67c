/// \file
/// One attempt of a call between entry and gate, the same whether the gate is
/// in this daemon or behind a link.
#pragma once

#include "galenarudder/link/body_pipe.hpp"
#include "galenarudder/support/call.hpp"
#include "galenarudder/support/refusal.hpp"

#include <functional>
#include <memory>
#include <variant>

namespace galenarudder::link {

/// The answer begins; its body follows in exchange::answer.
struct answered
{
    support::answer_head head;
    support::load_report load;
};

/// There is no answer.
struct refused
{
    support::refusal why;
    support::load_report load;
};

using exchange_event = std::variant<answered, refused>;

class exchange
{
public:
    exchange(support::call_head head, boost::asio::any_io_executor executor);

    support::call_head head;
    /// Body from caller to upstream.
    body_pipe request;
    /// Body from upstream to caller.
    body_pipe answer;
    /// Set by the entry; called at most once, from any thread.
    std::function<void(exchange_event)> deliver;
};

using exchange_ptr = std::shared_ptr<exchange>;

/// A gate as its entries see it. Safe from any thread.
class gate_port
{
public:
    virtual ~gate_port() = default;
    virtual void submit(exchange_ptr attempt) = 0;
    /// The answer is no longer wanted; the pipes may be cut after this call.
    virtual void cancel(exchange_ptr attempt) = 0;
};

} // namespace galenarudder::link
