#pragma once

#include <memory>
#include <string>
#include <string_view>

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include "Common/Error.h"

// Serialization of the generated Thrift structures. Only the codecs include
// this file, because it pulls in the Thrift headers.
namespace Wire {

using CompactProtocol = apache::thrift::protocol::TCompactProtocolT<
    apache::thrift::transport::TMemoryBuffer>;

template <class Struct> std::string packCompact(const Struct &Content) {
  auto Buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
  CompactProtocol Out(Buffer);
  Content.write(&Out);
  return Buffer->getBufferAsString();
}

// Throws an Error with code OnFailure if Bytes cannot be decoded.
template <class Struct>
Struct unpackCompact(std::string_view Bytes, Common::ResultCode OnFailure) {
  using apache::thrift::transport::TMemoryBuffer;
  // TMemoryBuffer takes a mutable pointer, but in OBSERVE mode it only reads.
  auto *Data =
      reinterpret_cast<std::uint8_t *>(const_cast<char *>(Bytes.data()));
  auto Buffer = std::make_shared<TMemoryBuffer>(
      Data, static_cast<std::uint32_t>(Bytes.size()), TMemoryBuffer::OBSERVE);
  // Limits the sizes of strings and containers to the size of the input, so
  // that a corrupt length cannot cause a huge allocation.
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
