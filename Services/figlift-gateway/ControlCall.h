//===- ControlCall.h - A call of the gateway itself -------------*- C++ -*-===//
//
// One HTTP call on a pooled connection, with a timeout, whose whole response is
// collected. What is held of responses counts against the bound on the memory
// of the process: a gateway calls all engines of a fleet, often at once.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "Context.h"

#include "LibUpstream/ServerConnection.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace figlift::gateway {

/// A status of 0 means that no complete response was received, or that it was
/// longer than any answer or than the memory left. If the callback throws, it
/// is called again with status 0.
using CallCallback =
    std::function<void(unsigned Status, const std::string &Body)>;

/// Sends a whole request whose response goes to the sink, and returns the
/// connection; null if the request could not be sent.
using ExchangeStarter =
    std::function<std::shared_ptr<upstream::ServerConnection>(
        std::shared_ptr<upstream::ExchangeSink>)>;

/// Returns false if \p Start could not send; \p Done is not called then. At the
/// timeout the connection is aborted, so that bytes which are still in transit
/// are not delivered later.
bool startControlCall(Context &Shared, const ExchangeStarter &Start,
                      std::chrono::milliseconds Timeout, CallCallback Done);

} // namespace figlift::gateway
