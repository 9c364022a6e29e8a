#include "input_file.h"

#include "ibisdyke/core/error.h"

#include <QFile>

#include <cstdio>

namespace ibisdyke::ctl {

QByteArray read_file(const std::string& name)
{
    QFile file(QString::fromStdString(name));
    const bool opened = name == "-" ? file.open(stdin, QIODevice::ReadOnly) : file.open(QIODevice::ReadOnly);
    if (!opened)
        throw core::invalid_input("FILE", name, "a readable file (" + file.errorString().toStdString() + ")");
    return file.readAll();
}

} // namespace ibisdyke::ctl
