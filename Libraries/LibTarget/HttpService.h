//===- HttpService.h - Plain service over HTTP ------------------*- C++ -*-===//
//
// Calls the plain service beside which an agent runs.
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
  const Endpoint m_Target;
  /// For calls that may be repeated; its connections are kept open.
  HttpClientPointer m_Pooled;
};

} // namespace figlift::target
