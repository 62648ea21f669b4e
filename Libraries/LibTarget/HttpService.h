//===- HttpService.h - Plain service over HTTP ------------------*- C++ -*-===//
//
// Client of the plain service beside which an agent runs.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibTarget/HttpCall.h"

namespace figlift::target {

class HttpService final : public Service {
public:
  explicit HttpService(Endpoint Target);
  void call(ServiceRequest Request, CallDone<ServiceReply> Done) override;

private:
  upstream::HttpClient m_Client;
};

} // namespace figlift::target
