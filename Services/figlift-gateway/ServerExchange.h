//===- ServerExchange.h - Every exchange with a server ----------*- C++ -*-===//
//
// The only way in which a gateway sends anything to a server: requests of
// callers and calls of its own. What a server says about itself in a response
// is read here, whatever the response is for and whoever still waits for it,
// and a pause that it has asked for is kept here. Whoever chooses servers
// leaves such a server out beforehand; this is the last check before the bytes.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "Context.h"

#include "LibUpstream/ServerConnection.h"

#include <memory>
#include <string>

namespace figlift::gateway {

struct ServerRequest {
  std::string TargetId;
  /// The serialized request, or its head if it has a Body.
  std::string Bytes;
  upstream::SharedBody Body = nullptr;
  std::shared_ptr<upstream::ExchangeSink> Sink;
  ServerFeedback::AnswerCheck IsServersAnswer;
  /// Empty if any connection to the server will do.
  upstream::ConnectionFilter IsSuitable = {};
  /// The response will name no request; see ServerConnection.h.
  bool IsCall = false;
};

/// Takes a connection from the server's pool and sends the request. Returns
/// null, without sending, if the server is not listed, its pool is exhausted,
/// or it has asked for a pause.
std::shared_ptr<upstream::ServerConnection>
startExchange(Context &Shared, ServerRequest Request, BootTime Now);

} // namespace figlift::gateway
