/// \file
/// Builds what a daemon needs to put a document in force. A build costs what
/// the document changes, and a copy of its text; the first one costs the whole
/// document. So it must not run on a thread that serves calls: it reads only
/// immutable inputs and may run on any thread.
#pragma once

#include "galenarudder/config/document.hpp"
#include "galenarudder/config/shared_document.hpp"
#include "galenarudder/rollout/transfer.hpp"
#include "galenarudder/support/error.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace galenarudder::rollout {

/// A valid document with all that is derived from it. Immutable.
struct built_document
{
    document_id id;
    /// Shares its rows with the document that it was built upon.
    config::shared_document content;
    /// The serialized form.
    std::string text;
    /// The configuration of the daemon's site.
    std::shared_ptr<const config::configuration> effective;
    /// The JSON patch from the document that it was built upon; empty if there
    /// is none that is smaller than \c text.
    std::string patch;
};

using built_document_ptr = std::shared_ptr<const built_document>;

/// Reads a document as the store holds it.
struct document_reader
{
    /// Reads any document; errors describe what is wrong.
    support::result<config::document> (*read)(std::string_view text) =
        config::parse_document;
    /// Reads what has changed since an earlier document, which may be null.
    /// Returns nothing if only \c read can decide.
    std::optional<config::shared_document> (*read_shared)(
        std::string_view text,
        const config::shared_document* earlier) = config::read_shared;
};

struct build_input
{
    /// The document of a store or an operator if \c to has version 0, otherwise
    /// a patch or a full document of a peer.
    transfer received;
    /// The document in force; null before the first.
    built_document_ptr current;
    /// The site whose configuration is built.
    std::string site;
    document_reader read_stored;
};

/// Errors: conflict if a patch is based on another document than the current
/// one, malformed_message if the result does not have the stated hash,
/// invalid_document.
support::result<built_document_ptr> build(const build_input& input);

} // namespace galenarudder::rollout
