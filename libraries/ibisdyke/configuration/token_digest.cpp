#include "ibisdyke/configuration/token_digest.h"

#include <QByteArray>
#include <QCryptographicHash>

namespace ibisdyke::configuration {

std::string token_digest(std::string_view token)
{
    const auto bytes = QByteArray::fromRawData(token.data(), static_cast<qsizetype>(token.size()));
    return QCryptographicHash::hash(bytes, QCryptographicHash::Sha256).toHex().toStdString();
}

} // namespace ibisdyke::configuration
