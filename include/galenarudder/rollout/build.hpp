/// \file
/// Builds what a daemon needs to put a document in force. The work grows with
/// the size of the document, so it must not run on a thread that serves calls:
/// it reads only immutable inputs and may run on any thread.
#pragma once

#include "galenarudder/config/document.hpp"
#include "galenarudder/rollout/transfer.hpp"
#include "galenarudder/support/error.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace galenarudder::rollout {

/// A valid document with all that is derived from it. Immutable.
struct built_document
{
    document_id id;
    config::document content;
    /// The serialized form.
    std::string text;
    /// The configuration of the daemon's site; null if \c content is not newer
    /// than the document that it was built upon.
    std::shared_ptr<const config::configuration> effective;
    /// The JSON patch from the document that it was built upon; empty if there
    /// is none that is smaller than \c text.
    std::string patch;
};

using built_document_ptr = std::shared_ptr<const built_document>;

/// Reads a document as the store holds it.
using document_reader =
    support::result<config::document> (*)(std::string_view text);

struct build_input
{
    /// The document of a store or an operator if \c to has version 0, otherwise
    /// a patch or a full document of a peer.
    transfer received;
    /// The document in force; null before the first.
    built_document_ptr current;
    /// The site whose configuration is built.
    std::string site;
    document_reader read_stored = config::parse_document;
};

/// Errors: conflict if a patch is based on another document than the current
/// one, malformed_message if the result does not have the stated hash,
/// invalid_document.
support::result<built_document_ptr> build(const build_input& input);

} // namespace galenarudder::rollout
