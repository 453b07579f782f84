#pragma once

#include <memory>
#include <string>
#include <string_view>

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include "Common/Error.h"

// Generated structures as bytes. For the codecs alone: it brings the library's
// headers with it.
namespace Wire {

using CompactProtocol = apache::thrift::protocol::TCompactProtocolT<
    apache::thrift::transport::TMemoryBuffer>;

template <class Struct> std::string packCompact(const Struct &Content) {
  auto Buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
  CompactProtocol Out(Buffer);
  Content.write(&Out);
  return Buffer->getBufferAsString();
}

template <class Struct>
Struct unpackCompact(std::string_view Bytes, Common::ResultCode OnFailure) {
  using apache::thrift::transport::TMemoryBuffer;
  // The library wants a mutable pointer but only reads in OBSERVE mode.
  auto *Data =
      reinterpret_cast<std::uint8_t *>(const_cast<char *>(Bytes.data()));
  auto Buffer = std::make_shared<TMemoryBuffer>(
      Data, static_cast<std::uint32_t>(Bytes.size()), TMemoryBuffer::OBSERVE);
  // A damaged length must not make the library reserve that much.
  CompactProtocol In(Buffer, static_cast<std::int32_t>(Bytes.size()),
                     static_cast<std::int32_t>(Bytes.size()));
  Struct Content;
  try {
    Content.read(&In);
  } catch (const std::exception &Failure) {
    throw Common::Error(OnFailure, Failure.what());
  }
  return Content;
}

} // namespace Wire
